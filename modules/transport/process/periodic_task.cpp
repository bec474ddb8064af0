#include "transport/process/periodic_task.h"

#include <chrono>
#include <utility>

namespace quetzal {

periodic_task::periodic_task(absl::Duration interval, std::function<void()> task)
    : m_interval(interval)
    , m_task(std::move(task))
    , m_thread([this] { run(); })
{
}

periodic_task::~periodic_task()
{
    stop();
}

void periodic_task::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable())
        m_thread.join();
}

void periodic_task::run()
{
    using clock = std::chrono::steady_clock;
    const clock::duration interval = absl::ToChronoNanoseconds(m_interval);
    clock::time_point next = clock::now();
    while (true) {
        m_task();
        next = std::max(next + interval, clock::now());
        const absl::Duration delay = absl::FromChrono(next - clock::now());
        const absl::MutexLock lock(&m_mutex);
        if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), delay))
            return;
    }
}

} // namespace quetzal
