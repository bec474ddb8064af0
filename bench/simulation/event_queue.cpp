#include "simulation/event_queue.h"

#include <utility>

namespace quetzal::bench {

void event_queue::after(absl::Duration delay, std::function<void()> action)
{
    m_events.push({.when = m_now + delay, .number = ++m_scheduled, .action = std::move(action)});
}

void event_queue::every(absl::Duration period, const std::function<void()> &action)
{
    after(period, [this, period, action] {
        action();
        every(period, action);
    });
}

void event_queue::runUntil(absl::Time end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.action();
    }
    m_now = end;
}

} // namespace quetzal::bench
