#include "transport/process/work_queue.h"

#include <utility>

namespace quetzal {

work_queue::work_queue(int threads, std::size_t maxQueued)
    : m_maxQueued(maxQueued)
{
    for (int index = 0; index < threads; ++index)
        m_threads.emplace_back([this] { run(); });
}

work_queue::~work_queue()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

bool work_queue::add(std::function<void()> work)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_queue.size() >= m_maxQueued)
        return false;
    m_queue.push_back(std::move(work));
    return true;
}

void work_queue::run()
{
    while (true) {
        std::function<void()> work;
        {
            const absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &work_queue::shouldWake));
            if (m_stopping)
                return;
            work = std::move(m_queue.front());
            m_queue.pop_front();
        }
        work();
    }
}

bool work_queue::shouldWake() const
{
    return m_stopping || !m_queue.empty();
}

} // namespace quetzal
