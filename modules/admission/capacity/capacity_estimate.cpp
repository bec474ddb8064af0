#include "admission/capacity/capacity_estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace quetzal {

double capacityTokens(const placed_work &placed, const target_pressure &pressure,
                      absl::Duration time, const capacity_limits &limits)
{
    if (placed.work <= absl::ZeroDuration() || pressure.targets == 0)
        return std::numeric_limits<double>::infinity();
    const double tokensPerSecond = placed.tokens / absl::ToDoubleSeconds(placed.work);
    const double nominal = tokensPerSecond * absl::ToDoubleSeconds(time)
        * static_cast<double>(pressure.targets) * limits.utilization;
    const absl::Duration backlog = std::max(pressure.meanBacklog, absl::Milliseconds(1));
    const double factor
        = std::pow(absl::FDivDuration(limits.intendedBacklog, backlog), limits.backlogExponent);
    return nominal * std::clamp(factor, limits.minFactor, limits.maxFactor);
}

} // namespace quetzal
