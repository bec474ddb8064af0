#include "tcp_relay.h"

#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace quetzal::testing {

namespace {

constexpr int pollMillis = 2;
constexpr std::size_t copyBytes = 64 * 1024;

} // namespace

tcp_relay::tcp_relay(endpoint target)
    : m_target(std::move(target))
    , m_listener(listenAt({.ip = "127.0.0.1", .port = 0}))
    , m_thread([this] { run(); })
{
}

tcp_relay::~tcp_relay()
{
    m_stopping = true;
    m_thread.join();
}

endpoint tcp_relay::address() const
{
    return {.ip = "127.0.0.1", .port = localPort(m_listener)};
}

void tcp_relay::stallOpenConnections()
{
    m_stallRequested = true;
    while (m_stallRequested)
        std::this_thread::yield();
}

void tcp_relay::run()
{
    while (!m_stopping) {
        std::vector<pollfd> pollEntries {{.fd = m_listener.descriptor(), .events = POLLIN}};
        for (const connection &pair : m_connections) {
            if (pair.stalled)
                continue;
            pollEntries.push_back({.fd = pair.client.descriptor(), .events = POLLIN});
            pollEntries.push_back({.fd = pair.server.descriptor(), .events = POLLIN});
        }
        poll(pollEntries.data(), pollEntries.size(), pollMillis);
        if (m_stallRequested) {
            for (connection &pair : m_connections)
                pair.stalled = true;
            m_stallRequested = false;
        }
        acceptNew();
        for (connection &pair : m_connections)
            forward(pair);
        m_connections.remove_if([](const connection &pair) { return !pair.open; });
    }
}

void tcp_relay::acceptNew()
{
    socket_handle client = acceptFrom(m_listener);
    if (!client.isOpen())
        return;
    ++m_accepted;
    m_connections.push_back({.client = std::move(client),
                             .server = beginConnect(m_target),
                             .stalled = m_stallNewConnections});
}

void tcp_relay::forward(connection &pair)
{
    if (!pair.stalled)
        pair.open = copy(pair.client, pair.server) && copy(pair.server, pair.client);
}

bool tcp_relay::copy(const socket_handle &from, const socket_handle &to)
{
    std::array<char, copyBytes> buffer {};
    const ssize_t count = recv(from.descriptor(), buffer.data(), buffer.size(), 0);
    if (count < 0)
        return errno == EAGAIN || errno == ENOTCONN;
    ssize_t written = 0;
    while (written < count) {
        pollfd ready {.fd = to.descriptor(), .events = POLLOUT, .revents = 0};
        poll(&ready, 1, 1000);
        const ssize_t sent = send(to.descriptor(), buffer.data() + written,
                                  static_cast<std::size_t>(count - written), MSG_NOSIGNAL);
        if (sent < 0)
            return false;
        written += sent;
    }
    return count > 0;
}

} // namespace quetzal::testing
