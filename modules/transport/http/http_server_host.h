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
    /** Where to listen; port 0 lets the system choose. */
    endpoint listen;
    connection_pool_options pool;
    connection_limits limits;
    /** Longest body that is read; a longer one is answered with status 413. */
    std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
    /** Whole HTTP answer to a connection that finds neither thread nor room to wait; optional. */
    std::string overloadAnswer;
};

/** Counts of a server since its start. */
struct http_server_counts
{
    std::uint64_t connections = 0;
    std::uint64_t exchanges = 0;
    /** Connections refused because too many were waiting. */
    std::uint64_t rejected = 0;
    /** Idle or stalling connections closed to make room for waiting ones. */
    std::uint64_t evictedCount = 0;

    bool operator==(const http_server_counts &) const = default;
};

/**
 * Runs a cpp-httplib server on one address with bounded threads, bytes and time.
 *
 * Idle connections, and those whose request stalls, give up their thread when others wait. stop()
 * is graceful: no connection is accepted any more, running exchanges finish, idle connections are
 * closed.
 */
class http_server_host
{
public:
    explicit http_server_host(http_server_host_options options);
    ~http_server_host();
    http_server_host(const http_server_host &) = delete;
    http_server_host &operator=(const http_server_host &) = delete;

    /** The server to register handlers with before start(); its task queue is the host's. */
    httplib::Server &server();
    /** Listens on a thread of its own; throws std::system_error with AddressInUse. */
    void start();
    /** Stops gracefully and waits for the running exchanges. */
    void stop();
    /** The address listened at; its port is known after start(). */
    endpoint address() const { return m_address; }
    http_server_counts counts() const;

private:
    class bounded_server;

    std::unique_ptr<bounded_server> m_server;
    endpoint m_address;
    std::thread m_thread;
};

} // namespace quetzal
