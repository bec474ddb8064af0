#include "forwarding/node/service_speed.h"

namespace quetzal {

namespace {

/** The time of shorter prompts depends more on fixed costs of the target than on its speed. */
constexpr std::int64_t minSampleTokens = 1500;
/** Weights of a new sample in the moving averages. */
constexpr double fasterWeight = 0.2;
constexpr double slowerWeight = 0.02;
constexpr double requestWeight = 0.05;

absl::Duration blend(absl::Duration old, absl::Duration sample, double weight)
{
    return old * (1.0 - weight) + sample * weight;
}

} // namespace

service_speed::service_speed(absl::Duration timePerToken, absl::Duration timePerRequest)
    : m_timePerToken(timePerToken)
    , m_timePerRequest(timePerRequest)
{
}

void service_speed::onPromptProcessed(std::int64_t tokens, absl::Duration time)
{
    if (tokens < minSampleTokens)
        return;
    const absl::Duration sample = time / static_cast<double>(tokens);
    m_timePerToken
        = blend(m_timePerToken, sample, sample < m_timePerToken ? fasterWeight : slowerWeight);
}

void service_speed::onAnswered(absl::Duration time)
{
    m_timePerRequest = blend(m_timePerRequest, time, requestWeight);
}

} // namespace quetzal
