#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace quetzal {

/** Runs blocking tasks on its own fixed number of threads, started in order of arrival. */
class work_queue
{
public:
    /** maxQueued limits the number of queued tasks; add() rejects further ones. */
    work_queue(int threads, std::size_t maxQueued);
    /** Finishes the running tasks and drops the queued ones. */
    ~work_queue();
    work_queue(const work_queue &) = delete;
    work_queue &operator=(const work_queue &) = delete;

    /** Queues a task; returns false if the queue is full. */
    bool add(std::function<void()> work);

private:
    void run();
    bool shouldWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    std::size_t m_maxQueued;
    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_queue ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzal
