#include "admission/limit/backlog_limit.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, double draw, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    const double ratio = shareRatio(share);
    if (ratio >= 1.0)
        return latencyObjective * std::clamp(ratio, limits.underShare, limits.farUnderShare);
    const double beyondShare = limits.overShare * ratio;
    if (draw >= ratio)
        return latencyObjective * beyondShare;
    return latencyObjective * std::lerp(beyondShare, limits.underShare, std::sqrt(ratio));
}

} // namespace quetzal
