#include "standins/common/connection_stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzal::standins {

namespace {

constexpr int ioTimeoutMs = 10000;
constexpr std::chrono::milliseconds pollInterval(100);

thread_local connection_stream *currentStream = nullptr;

bool pollSocket(int socket, short events, int timeoutMs)
{
    pollfd entry {socket, events, 0};
    return ::poll(&entry, 1, timeoutMs) > 0;
}

void readAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

connection_stream::connection_stream(socket_t socket)
    : m_socket(socket)
{
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    currentStream = this;
}

connection_stream::~connection_stream()
{
    currentStream = nullptr;
    ::shutdown(m_socket, SHUT_RDWR);
    ::close(m_socket);
}

connection_stream *connection_stream::current()
{
    return currentStream;
}

void connection_stream::abandon()
{
    m_abandoned = true;
}

bool connection_stream::isPeerDisconnected() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count == 0)
        return true;
    return count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

bool connection_stream::waitForRequest(std::chrono::milliseconds limit,
                                       const std::function<bool()> &isStopped)
{
    if (hasBufferedBytes())
        return true;
    for (auto waited = std::chrono::milliseconds::zero(); waited < limit; waited += pollInterval) {
        if (isStopped())
            return false;
        if (pollSocket(m_socket, POLLIN, static_cast<int>(pollInterval.count())))
            return !isPeerDisconnected();
    }
    return false;
}

bool connection_stream::is_readable() const
{
    return hasBufferedBytes() || pollSocket(m_socket, POLLIN, ioTimeoutMs);
}

bool connection_stream::is_writable() const
{
    return !m_abandoned && pollSocket(m_socket, POLLOUT, ioTimeoutMs) && !isPeerDisconnected();
}

ssize_t connection_stream::read(char *buffer, size_t size)
{
    if (!hasBufferedBytes()) {
        if (!pollSocket(m_socket, POLLIN, ioTimeoutMs))
            return -1;
        const ssize_t count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (count <= 0)
            return count;
        m_begin = 0;
        m_end = static_cast<std::size_t>(count);
    }
    const std::size_t copied = std::min(size, m_end - m_begin);
    std::memcpy(buffer, m_buffer.data() + m_begin, copied);
    m_begin += copied;
    return static_cast<ssize_t>(copied);
}

ssize_t connection_stream::write(const char *data, size_t size)
{
    if (m_abandoned || !pollSocket(m_socket, POLLOUT, ioTimeoutMs))
        return -1;
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

void connection_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (::getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        readAddress(address, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        readAddress(address, ip, port);
}

} // namespace quetzal::standins
