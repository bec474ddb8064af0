#include "forwarding/node/service_speed.h"

namespace quetzal {

namespace {

/** Shorter prompts say more about the target's fixed costs than about its speed. */
constexpr std::int64_t leastTokens = 1500;
constexpr double fasterWeight = 0.2;
constexpr double slowerWeight = 0.02;
constexpr double requestWeight = 0.05;

absl::Duration mixed(absl::Duration old, absl::Duration sample, double weight)
{
    return old * (1.0 - weight) + sample * weight;
}

} // namespace

service_speed::service_speed(absl::Duration perToken, absl::Duration perRequest)
    : m_perToken(perToken)
    , m_perRequest(perRequest)
{
}

void service_speed::onPromptRead(std::int64_t tokens, absl::Duration time)
{
    if (tokens < leastTokens)
        return;
    const absl::Duration sample = time / static_cast<double>(tokens);
    m_perToken = mixed(m_perToken, sample, sample < m_perToken ? fasterWeight : slowerWeight);
}

void service_speed::onAnswered(absl::Duration time)
{
    m_perRequest = mixed(m_perRequest, time, requestWeight);
}

} // namespace quetzal
