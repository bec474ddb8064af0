#pragma once

#include "admission/share/share_state.h"

#include <absl/time/time.h>

namespace quetzal {

/** Settings of the backlog up to which requests are accepted. */
struct backlog_limits
{
    /** Ratio of the limit to the latency objective for workspaces within their fair share. */
    double underShare = 1.0;
    /** The same ratio for requests beyond the fair share. */
    double overShare = 0.25;

    bool operator==(const backlog_limits &) const = default;
};

/**
 * Returns the backlog of the best target above which a request is rejected at once.
 *
 * Without a backlog no request is rejected, whatever its workspace requests. With a backlog,
 * requests beyond the fair share are rejected before those within it. The limit of the latter falls
 * towards that of the former with the excess of their workspace, so that at a target that many
 * workspaces need, those that stay within their share find room. @param draw a number in [0,
 * 1) that is uniformly distributed over the requests of a workspace; it decides whether this one is
 * within the share
 */
absl::Duration backlogLimit(const share_state &share, double draw, absl::Duration latencyObjective,
                            const backlog_limits &limits);

} // namespace quetzal
