#pragma once

#include <optional>
#include <string_view>

namespace quetzal {

/** The usage of one workspace within the window, and its fair share. */
struct share_state
{
    /** The tokens that the workspace requested. */
    double requestedTokens = 0.0;
    /** The tokens of its requests that were accepted and are not known to be unrun. */
    double servedTokens = 0.0;
    /** The max-min fair share; nothing while nearly all demand is served. */
    std::optional<double> fairShareTokens;

    bool operator==(const share_state &) const = default;
};

/**
 * Returns the ratio of a workspace's fair share to what it requests; 1 while nearly all demand is
 * served.
 */
double shareOverDemand(const share_state &share);

/**
 * Returns how much a workspace is owed: shareOverDemand(), raised if it was served too little.
 *
 * Less than 1 means that it requests more than it is owed. At 1 and above it is owed all that it
 * requests, or was served too little of its fair share, for whatever reason.
 */
double shareRatio(const share_state &share);

/** Returns which fraction of its requests a workspace has within its fair share; at most 1. */
double fractionWithinShare(const share_state &share);

/**
 * Returns a number in [0, 1) for a request, the same on every router, uniformly distributed over
 * request identifiers.
 */
double shareDraw(std::string_view requestId);

} // namespace quetzal
