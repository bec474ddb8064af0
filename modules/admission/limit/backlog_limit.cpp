#include "admission/limit/backlog_limit.h"

#include <cmath>

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    const bool isOverShare = share.fairShareTokens && share.servedTokens >= *share.fairShareTokens;
    if (!isOverShare)
        return latencyObjective * limits.underShare;
    const double fairShareRatio
        = share.servedTokens > 0.0 ? *share.fairShareTokens / share.servedTokens : 1.0;
    return latencyObjective * limits.overShare * std::pow(fairShareRatio, limits.overSharePower);
}

} // namespace quetzal
