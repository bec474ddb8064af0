#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace quetzal::standins {

/**
 * A thread pool that grows on demand: a new thread is started only when no thread is idle.
 *
 * A streamed answer occupies its thread until it ends, so that a pool of fixed size would either be
 * too small for the concurrent streams or mostly idle.
 */
class elastic_task_queue final : public httplib::TaskQueue
{
public:
    /** Serves at most maxThreads connections concurrently; further ones are queued. */
    explicit elastic_task_queue(std::size_t maxThreads);

    /** Queues a task and starts a thread for it if none is idle and the maximum allows. */
    void enqueue(std::function<void()> task) override;
    /** Runs the queued tasks to completion and joins all threads. */
    void shutdown() override;

private:
    void runWorker();

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_taskCondition;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_idleThreadCount = 0;
    bool m_shutdown = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzal::standins
