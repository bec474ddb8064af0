#include "standins/common/elastic_task_queue.h"

#include <utility>

namespace quetzal::standins {

elastic_task_queue::elastic_task_queue(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

void elastic_task_queue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idleThreadCount < m_tasks.size() && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { runWorker(); });
    m_taskCondition.notify_one();
}

void elastic_task_queue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_shutdown = true;
    }
    m_taskCondition.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void elastic_task_queue::runWorker()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreadCount;
        m_taskCondition.wait(lock, [this] { return m_shutdown || !m_tasks.empty(); });
        --m_idleThreadCount;
        if (m_tasks.empty())
            return;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace quetzal::standins
