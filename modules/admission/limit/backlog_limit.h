#pragma once

#include "admission/share/share_state.h"

#include <absl/time/time.h>

namespace quetzal {

/** Settings of the backlog up to which requests are accepted. */
struct backlog_limits
{
    /** Ratio of the limit to the latency objective for workspaces within their fair share. */
    double underShare = 1.0;
    /** The same ratio for requests just beyond the fair share. */
    double overShare = 0.25;
    /** The same ratio at most, for workspaces that request, or were served, far less than that. */
    double farUnderShare = 2.0;

    bool operator==(const backlog_limits &) const = default;
};

/**
 * Returns the backlog of the best target above which a request is rejected at once.
 *
 * Without a backlog no request is rejected, whatever its workspace requests. With a backlog,
 * requests beyond the fair share are rejected before those within it, the earlier the further their
 * workspace is beyond it. A workspace that requests less than its share, or was served less, is
 * answered late rather than rejected where others have filled the targets that it needs. @param
 * draw a number in [0, 1) that is uniformly distributed over the requests of a workspace; it
 * decides whether this one is within the share
 */
absl::Duration backlogLimit(const share_state &share, double draw, absl::Duration latencyObjective,
                            const backlog_limits &limits);

} // namespace quetzal
