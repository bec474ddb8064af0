#include "admission/processor/overload_detector.h"

#include <algorithm>

namespace quetzal {

overload_detector::overload_detector(overload_limits limits)
    : m_limits(limits)
{
}

void overload_detector::onLoopDelay(absl::Duration delay, absl::Time nextDueAt)
{
    m_lastDelay = delay;
    m_nextDueAt = nextDueAt;
}

double overload_detector::rejectedFraction(absl::Time now) const
{
    const absl::Duration delay = std::max(m_lastDelay, now - m_nextDueAt);
    const double fraction
        = absl::FDivDuration(delay - m_limits.minDelay, m_limits.maxDelay - m_limits.minDelay);
    return std::clamp(fraction, 0.0, 1.0);
}

} // namespace quetzal
