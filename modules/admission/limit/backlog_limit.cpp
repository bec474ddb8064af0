#include "admission/limit/backlog_limit.h"

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, absl::Duration aim,
                            const backlog_limits &limits)
{
    const bool isOverShare = share.owedTokens && share.servedTokens >= *share.owedTokens;
    return aim * (isOverShare ? limits.overShare : limits.underShare);
}

} // namespace quetzal
