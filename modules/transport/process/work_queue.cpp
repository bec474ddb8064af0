#include "transport/process/work_queue.h"

#include <utility>

namespace quetzal {

work_queue::work_queue(int threads, std::size_t mostWaiting)
    : m_mostWaiting(mostWaiting)
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
    if (m_waiting.size() >= m_mostWaiting)
        return false;
    m_waiting.push_back(std::move(work));
    return true;
}

void work_queue::run()
{
    while (true) {
        std::function<void()> work;
        {
            const absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &work_queue::hasNews));
            if (m_stopping)
                return;
            work = std::move(m_waiting.front());
            m_waiting.pop_front();
        }
        work();
    }
}

bool work_queue::hasNews() const
{
    return m_stopping || !m_waiting.empty();
}

} // namespace quetzal
