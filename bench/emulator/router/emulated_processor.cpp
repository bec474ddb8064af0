#include "emulator/router/emulated_processor.h"

#include <utility>

namespace quetzal::bench {

emulated_processor::emulated_processor(event_queue &events, double share)
    : m_events(events)
    , m_share(share)
{
}

void emulated_processor::post(task next)
{
    m_tasks.push_back(std::move(next));
    runNext();
}

void emulated_processor::runNext()
{
    if (m_isBusy || m_tasks.empty())
        return;
    m_isBusy = true;
    const task next = std::move(m_tasks.front());
    m_tasks.pop_front();
    const absl::Duration used = next();
    m_events.after(used / m_share, [this] {
        m_isBusy = false;
        runNext();
    });
}

} // namespace quetzal::bench
