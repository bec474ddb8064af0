#include "admission/processor/turn_limiter.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

namespace {

/** The processor time to read and send a request. */
constexpr double secondsPerRequest = 0.0004;
/** The time that one turn spends on new requests. */
constexpr double secondsPerTurn = 0.02;
constexpr int minPerTurn = 2;
/** The turns whose unused requests may be made up for. */
constexpr int turnsPerBurst = 4;

} // namespace

turn_limits turnLimitsOf(double processorShare)
{
    const int perTurn
        = static_cast<int>(std::lround(processorShare * secondsPerTurn / secondsPerRequest));
    const int maxPerTurn = std::max(perTurn, minPerTurn);
    return {.maxPerTurn = maxPerTurn, .maxBurst = maxPerTurn * turnsPerBurst};
}

turn_limiter::turn_limiter(turn_limits limits)
    : m_limits(limits)
    , m_available(limits.maxBurst)
{
}

bool turn_limiter::tryTake()
{
    if (m_available == 0)
        return false;
    --m_available;
    return true;
}

void turn_limiter::onTurnEnded()
{
    m_available = std::min(m_available + m_limits.maxPerTurn, m_limits.maxBurst);
}

} // namespace quetzal
