#pragma once

#include "transport/http/connection_pool.h"
#include "transport/http/connection_stream.h"
#include "transport/link/message_network.h"

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace quetzal {

/** Options of http_server_host. */
struct http_server_host_options
{
    /** Listen address; with port 0 the system chooses the port. */
    endpoint listen;
    connection_pool_options pool;
    connection_limits limits;
    /** Maximum size of a request body; a longer one is answered with status 413. */
    std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
    /** Complete HTTP answer for connections rejected because the queue is full; optional. */
    std::string overloadAnswer;
};

/** Counters of a server since its start. */
struct http_server_counts
{
    /** Accepted connections, including rejected ones. */
    std::uint64_t connections = 0;
    /** Requests that began to arrive. */
    std::uint64_t exchanges = 0;
    /** Connections rejected because the queue was full. */
    std::uint64_t rejected = 0;
    /** Idle or stalled connections closed in favour of queued ones. */
    std::uint64_t evictedCount = 0;

    bool operator==(const http_server_counts &) const = default;
};

/**
 * Runs a cpp-httplib server on one address with limits on threads, bytes and time.
 *
 * Idle connections and those whose request stalls are evicted while other connections are queued.
 * stop() is graceful: no further connection is accepted, running exchanges finish and idle
 * connections are closed.
 */
class http_server_host
{
public:
    explicit http_server_host(http_server_host_options options);
    ~http_server_host();
    http_server_host(const http_server_host &) = delete;
    http_server_host &operator=(const http_server_host &) = delete;

    /** Returns the server for registering handlers before start(); the host sets its task queue. */
    httplib::Server &server();
    /** Starts listening on a new thread; throws std::system_error with AddressInUse on failure. */
    void start();
    /** Stops gracefully and waits for the running exchanges. */
    void stop();
    /** Returns the listen address; its port is known after start(). */
    endpoint address() const { return m_address; }
    /** Returns the counters since the start. */
    http_server_counts counts() const;

private:
    class bounded_server;

    std::unique_ptr<bounded_server> m_server;
    endpoint m_address;
    std::thread m_thread;
};

} // namespace quetzal
