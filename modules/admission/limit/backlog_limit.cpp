#include "admission/limit/backlog_limit.h"

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, double draw, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    const bool isWithinShare = draw < fractionWithinShare(share);
    return latencyObjective * (isWithinShare ? limits.underShare : limits.overShare);
}

} // namespace quetzal
