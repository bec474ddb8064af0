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
 * Runs each connection on a thread of its own, and starts threads only when all are busy.
 *
 * A stream holds its thread until its end, so that a fixed pool would either be too small for the
 * concurrent streams or mostly idle.
 */
class elastic_task_queue final : public httplib::TaskQueue
{
public:
    /** At most maxThreads connections are served at a time; further ones wait. */
    explicit elastic_task_queue(std::size_t maxThreads);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void work();

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_idle = 0;
    bool m_shutdown = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzal::standins
