#include "admission/limit/backlog_limit.h"

#include <cmath>

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    const bool isOverShare = share.owedTokens && share.servedTokens >= *share.owedTokens;
    if (!isOverShare)
        return latencyObjective * limits.underShare;
    const double owedPart = share.servedTokens > 0.0 ? *share.owedTokens / share.servedTokens : 1.0;
    return latencyObjective * limits.overShare * std::pow(owedPart, limits.overSharePower);
}

} // namespace quetzal
