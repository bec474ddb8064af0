#include "forwarding/shutdown/shutdown_schedule.h"

#include <algorithm>

namespace quetzal {

namespace {

/** Load balancers need about two seconds to take a router out of rotation. */
constexpr absl::Duration acceptTime = absl::Milliseconds(2800);
/** The maximum time for callers to receive their last answers, and from the end to the kill. */
constexpr absl::Duration maxStepTime = absl::Milliseconds(250);
/** Each of these two steps takes at most the grace period divided by this. */
constexpr int stepDivisor = 16;
constexpr int stepsBeforeKill = 2;

} // namespace

shutdown_schedule::shutdown_schedule(absl::Time startedAt, absl::Duration grace)
    : m_startedAt(startedAt)
    , m_grace(std::max(grace, absl::ZeroDuration()))
{
}

void shutdown_schedule::shorten(absl::Duration grace)
{
    m_grace = std::clamp(grace, absl::ZeroDuration(), m_grace);
}

absl::Duration shutdown_schedule::stepTime() const
{
    return std::min(maxStepTime, m_grace / stepDivisor);
}

absl::Time shutdown_schedule::acceptsUntil() const
{
    return std::min(m_startedAt + acceptTime, answersDueAt());
}

absl::Time shutdown_schedule::answersDueAt() const
{
    return m_startedAt + m_grace - stepsBeforeKill * stepTime();
}

absl::Time shutdown_schedule::endsAt() const
{
    return m_startedAt + m_grace - stepTime();
}

} // namespace quetzal
