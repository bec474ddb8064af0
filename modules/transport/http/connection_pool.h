#pragma once

#include "transport/link/socket_handle.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace quetzal {

/** Options of connection_pool. */
struct connection_pool_options
{
    /** Maximum number of threads; each serves one connection at a time. */
    std::size_t threads = 256;
    /** Maximum number of accepted connections queued for a thread. */
    std::size_t maxQueued = 256;

    bool operator==(const connection_pool_options &) const = default;
};

/**
 * Thread pool that serves connections; threads are started on demand.
 *
 * Each connection that is queued while all threads are busy adds one to the value of a semaphore
 * eventfd. A thread whose own connection is idle or stalled may take one from it and close that
 * connection in favour of the queued one (eviction). Beyond maxQueued, enqueue() runs the function
 * of a connection at once on the accepting thread, where isRejecting() is true.
 */
class connection_pool : public httplib::TaskQueue
{
public:
    explicit connection_pool(connection_pool_options options);
    ~connection_pool() override;
    connection_pool(const connection_pool &) = delete;
    connection_pool &operator=(const connection_pool &) = delete;

    /** Queues the function that serves a connection; runs it at once if the queue is full. */
    void enqueue(std::function<void()> serve) override;
    /** Serves the queued connections, then joins the threads. */
    void shutdown() override;

    /** Returns a descriptor that is readable while evictions are requested. */
    int evictionDescriptor() const { return m_evictionRequests.descriptor(); }
    /** Claims one requested eviction; returns false if another thread claimed it first. */
    bool tryClaimEviction();
    /** Closes idle connections from now on; requests in progress are no longer evicted. */
    void closeIdle();
    /** True once closeIdle() was called. */
    bool isClosingIdle() const { return m_closingIdle; }
    /** Returns the number of connections evicted in favour of queued ones. */
    std::uint64_t evictedCount() const { return m_evictedCount; }
    /** True on the accepting thread while it rejects a connection. */
    static bool isRejecting();

private:
    bool tryEnqueue(std::function<void()> &serve, bool &needsEviction);
    bool shouldWake() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    void run();
    void requestEvictions(std::uint64_t amount);

    const connection_pool_options m_options;
    socket_handle m_evictionRequests;
    std::atomic<bool> m_closingIdle {false};
    std::atomic<std::uint64_t> m_evictedCount {0};
    absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_queue ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idleThreadCount ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace quetzal
