#include "apps/router/request_channel.h"

#include <utility>

namespace quetzal {

void request_channel::put(request_decision decision)
{
    const absl::MutexLock lock(&m_mutex);
    m_decisions.push_back(std::move(decision));
}

request_decision request_channel::take()
{
    const auto hasDecision = [this] {
        m_mutex.AssertReaderHeld();
        return !m_decisions.empty();
    };
    const absl::MutexLock lock(&m_mutex, absl::Condition(&hasDecision));
    request_decision decision = std::move(m_decisions.front());
    m_decisions.pop_front();
    return decision;
}

} // namespace quetzal
