#pragma once

#include "admission/share/share_state.h"

#include <absl/time/time.h>

namespace quetzal {

/** Settings of the backlog up to which requests are accepted. */
struct backlog_limits
{
    /** Ratio of the limit to the latency objective for workspaces that request their share. */
    double underShare = 1.0;
    /** The same ratio at most, for workspaces that request far less than that. */
    double farUnderShare = 2.0;

    bool operator==(const backlog_limits &) const = default;
};

/**
 * Returns the backlog of the chosen target above which a request within its workspace's fair share
 * is rejected at once.
 *
 * A workspace that requests less than its share is answered late rather than rejected where others
 * have filled the targets that it needs.
 */
absl::Duration backlogLimit(const share_state &share, absl::Duration latencyObjective,
                            const backlog_limits &limits);

} // namespace quetzal
