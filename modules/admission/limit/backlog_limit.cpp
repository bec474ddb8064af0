#include "admission/limit/backlog_limit.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, double draw, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    const double shareRatio = shareOverDemand(share);
    if (shareRatio >= 1.0)
        return latencyObjective * std::clamp(shareRatio, limits.underShare, limits.farUnderShare);
    const double beyondShare = limits.overShare * shareRatio;
    if (draw >= shareRatio)
        return latencyObjective * beyondShare;
    return latencyObjective * std::lerp(beyondShare, limits.underShare, std::sqrt(shareRatio));
}

} // namespace quetzal
