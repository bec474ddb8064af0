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
    /** Threads at most; each serves one connection at a time. */
    std::size_t threads = 256;
    /** Accepted connections that may wait for a thread. */
    std::size_t maxQueued = 256;

    bool operator==(const connection_pool_options &) const = default;
};

/**
 * Threads that serve connections, started as they are needed.
 *
 * Each connection that has to wait for a thread adds one to the value of a semaphore descriptor;
 * a thread whose connection is idle or stalls may take one and close that connection instead.
 * Beyond maxQueued a connection is handed to its function at once on the accepting thread, where
 * isRejecting() is true.
 */
class connection_pool : public httplib::TaskQueue
{
public:
    explicit connection_pool(connection_pool_options options);
    ~connection_pool() override;
    connection_pool(const connection_pool &) = delete;
    connection_pool &operator=(const connection_pool &) = delete;

    void enqueue(std::function<void()> serve) override;
    /** Serves what waits, then joins the threads. */
    void shutdown() override;

    /** Readable while a connection waits and another one should give way. */
    int evictionDescriptor() const { return m_evictionRequests.descriptor(); }
    /** Takes one request to give way; false when another thread was faster. */
    bool tryClaimEviction();
    /** From now on idle connections are closed, and requests under way no longer give way. */
    void closeIdle();
    bool isClosingIdle() const { return m_closingIdle; }
    /** Connections that gave way to waiting ones. */
    std::uint64_t evictedCount() const { return m_evictedCount; }
    /** True on the accepting thread while it refuses a connection. */
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
