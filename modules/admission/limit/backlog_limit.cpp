#include "admission/limit/backlog_limit.h"

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, double draw, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    const double fraction = fractionWithinShare(share);
    const bool isWithinShare = draw < fraction;
    const double reserve = limits.underShare - limits.overShare;
    return latencyObjective * (limits.overShare + (isWithinShare ? reserve * fraction : 0.0));
}

} // namespace quetzal
