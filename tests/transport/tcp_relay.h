#pragma once

#include "transport/link/socket_handle.h"

#include <atomic>
#include <list>
#include <thread>

namespace quetzal::testing {

/**
 * Forwards TCP connections to one address, and can stall the open ones permanently: they stay open
 * and carry no more bytes, while new ones work.
 */
class tcp_relay
{
public:
    explicit tcp_relay(endpoint target);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    /** Returns the address for clients to connect to. */
    endpoint address() const;
    /** Stalls all connections that are open now. */
    void stallOpenConnections();
    /** While set, new connections are accepted and stalled from the start. */
    void setStallNewConnections(bool stalled) { m_stallNewConnections = stalled; }
    /** Returns the number of connections accepted so far. */
    int accepted() const { return m_accepted; }

private:
    struct connection
    {
        socket_handle client;
        socket_handle server;
        bool stalled = false;
        bool open = true;
    };

    void run();
    void acceptNew();
    static void forward(connection &pair);
    static bool copy(const socket_handle &from, const socket_handle &to);

    endpoint m_target;
    socket_handle m_listener;
    std::atomic<bool> m_stopping {false};
    std::atomic<bool> m_stallRequested {false};
    std::atomic<bool> m_stallNewConnections {false};
    std::atomic<int> m_accepted {0};
    std::list<connection> m_connections;
    std::thread m_thread;
};

} // namespace quetzal::testing
