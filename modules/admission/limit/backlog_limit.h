#pragma once

#include <absl/time/time.h>

#include <optional>

namespace quetzal {

/** Settings of the backlog up to which requests are accepted. */
struct backlog_limits
{
    /** Ratio of the limit to the latency objective for workspaces below their fair share. */
    double underShare = 1.0;
    /**
     * The same ratio for workspaces that have reached their fair share while demand exceeds the
     * capacity.
     */
    double overShare = 0.25;
    /**
     * Exponent of the ratio of fair share to usage, by which the limit decreases beyond the fair
     * share.
     */
    double overSharePower = 2.0;

    bool operator==(const backlog_limits &) const = default;
};

/** The usage of one workspace within the window, and its fair share. */
struct share_state
{
    /** The tokens that were served to the workspace. */
    double servedTokens = 0.0;
    /** The max-min fair share; nothing while the capacity covers all demand. */
    std::optional<double> fairShareTokens;

    bool operator==(const share_state &) const = default;
};

/**
 * Returns the backlog of the best target above which a request is rejected at once.
 *
 * Without a backlog no request is rejected, whatever its workspace has used before. With a backlog,
 * workspaces that have reached their fair share are rejected before those that have not, and the
 * earlier the further they are beyond it.
 */
absl::Duration backlogLimit(const share_state &share, absl::Duration latencyObjective,
                            const backlog_limits &limits);

} // namespace quetzal
