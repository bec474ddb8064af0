#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string_view>

namespace quetzal {

/** The usage of one workspace within the window, and its fair share. */
struct share_state
{
    /** The tokens that the workspace requested. */
    double requestedTokens = 0.0;
    /** The tokens of its requests that were accepted and are not known to be unrun; for the log. */
    double servedTokens = 0.0;
    /** The max-min fair share; nothing while the capacity covers all demand. */
    std::optional<double> fairShareTokens;

    bool operator==(const share_state &) const = default;
};

/**
 * Returns the ratio of a workspace's fair share to what it requests; 1 while the capacity covers
 * all demand.
 */
double shareOverDemand(const share_state &share);

/**
 * Returns whether a request is within its workspace's fair share: of what a workspace requests, its
 * share is. Repeats count as demand and as requests alike, so they change nothing in the sum.
 * @param draw a number in [0, 1) that is uniformly distributed over the requests of a workspace
 */
bool isWithinShare(const share_state &share, double draw);

/**
 * Returns the Retry-After of a request beyond the share: the longer, the more its workspace
 * requests beyond it. A repeat that is likely to be accepted can still be answered in time; one
 * that is not should come when demand may have changed.
 */
absl::Duration retryAfterBeyondShare(const share_state &share);

/**
 * Returns a number in [0, 1) for a request, the same on every router, uniformly distributed over
 * request identifiers.
 */
double shareDraw(std::string_view requestId);

} // namespace quetzal
