#pragma once

#include "transport/link/socket_handle.h"

#include <atomic>
#include <list>
#include <thread>

namespace quetzal::testing {

/**
 * Forwards TCP connections to one address, and can make the open ones go silent for good: they stay
 * open and carry nothing any more, while new ones work.
 */
class tcp_relay
{
public:
    explicit tcp_relay(endpoint target);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    /** Where clients connect. */
    endpoint address() const;
    /** Makes every connection that is open now silent. */
    void stallOpenConnections();
    /** While set, new connections are accepted and silent from the start. */
    void setStallNewConnections(bool stalled) { m_stallNewConnections = stalled; }
    /** Connections accepted so far. */
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
