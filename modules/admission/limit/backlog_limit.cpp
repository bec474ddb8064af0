#include "admission/limit/backlog_limit.h"

#include <algorithm>

namespace quetzal {

absl::Duration backlogLimit(const share_state &share, absl::Duration latencyObjective,
                            const backlog_limits &limits)
{
    return latencyObjective
        * std::clamp(shareOverDemand(share), limits.underShare, limits.farUnderShare);
}

} // namespace quetzal
