#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <thread>

namespace quetzal {

/** Calls a function at a fixed interval on its own thread until it is stopped or destroyed. */
class periodic_task
{
public:
    /**
     * Starts with a call at once. If a call overruns the interval, the next one follows at once and
     * missed ones are skipped.
     */
    periodic_task(absl::Duration interval, std::function<void()> task);
    ~periodic_task();
    periodic_task(const periodic_task &) = delete;
    periodic_task &operator=(const periodic_task &) = delete;

    /** Waits for a running call to return and joins the thread. */
    void stop();

private:
    void run();

    const absl::Duration m_interval;
    const std::function<void()> m_task;
    absl::Mutex m_mutex;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace quetzal
