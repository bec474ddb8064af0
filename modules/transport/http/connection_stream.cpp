#include "transport/http/connection_stream.h"

#include "transport/http/connection_pool.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace quetzal {

namespace {

/** A connection is not evicted before it has waited this long: bytes may be in flight. */
constexpr auto stallGrace = std::chrono::milliseconds(250);
constexpr auto idleGrace = std::chrono::milliseconds(100);
/** A request that takes longer than this to arrive may be evicted even while bytes arrive. */
constexpr auto arrivalGrace = std::chrono::seconds(2);

void readAddress(const sockaddr_storage &native, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (native.ss_family != AF_INET)
        return;
    const auto &address = reinterpret_cast<const sockaddr_in &>(native);
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

bool isTransientError(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

connection_stream::connection_stream(int descriptor, connection_limits limits,
                                     connection_pool &pool)
    : m_descriptor(descriptor)
    , m_limits(limits)
    , m_pool(pool)
{
    beginRequest();
}

bool connection_stream::awaitRequest()
{
    if (hasBufferedBytes())
        return true;
    const clock::duration limit = absl::ToChronoNanoseconds(m_limits.idleTimeout);
    return waitReadableOrEvicted(idleGrace, limit, true) && isPeerConnected();
}

void connection_stream::beginRequest()
{
    m_requestBytes = 0;
    m_requestBegin = clock::now();
}

bool connection_stream::isPeerConnected() const
{
    char byte = 0;
    const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count > 0 || (count < 0 && isTransientError(errno));
}

bool connection_stream::is_readable() const
{
    return hasBufferedBytes()
        || waitFor(POLLIN, absl::ToChronoNanoseconds(m_limits.progressTimeout));
}

bool connection_stream::is_writable() const
{
    return waitFor(POLLOUT, absl::ToChronoNanoseconds(m_limits.progressTimeout))
        && isPeerConnected();
}

ssize_t connection_stream::read(char *data, std::size_t size)
{
    if (!hasBufferedBytes()) {
        const ssize_t count = fillBuffer();
        if (count <= 0)
            return count;
    }
    const std::size_t count = std::min(size, m_filled - m_consumed);
    std::memcpy(data, m_buffer.data() + m_consumed, count);
    m_consumed += count;
    m_requestBytes += count;
    return static_cast<ssize_t>(count);
}

ssize_t connection_stream::fillBuffer()
{
    m_mustClose = true;
    if (m_requestBytes >= m_limits.maxRequestBytes)
        return -1;
    const clock::duration age = clock::now() - m_requestBegin;
    const clock::duration left = absl::ToChronoNanoseconds(m_limits.requestTimeout) - age;
    const clock::duration progress = absl::ToChronoNanoseconds(m_limits.progressTimeout);
    const clock::duration grace = age < arrivalGrace ? stallGrace : clock::duration::zero();
    if (left <= clock::duration::zero()
        || !waitReadableOrEvicted(grace, std::min(left, progress), false))
        return -1;
    const ssize_t count = recv(m_descriptor, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
    m_consumed = 0;
    m_filled = count > 0 ? static_cast<std::size_t>(count) : 0;
    m_mustClose = count <= 0;
    return count;
}

ssize_t connection_stream::write(const char *data, std::size_t size)
{
    recordStatus({data, size});
    while (true) {
        if (!waitFor(POLLOUT, absl::ToChronoNanoseconds(m_limits.progressTimeout)))
            return -1;
        const ssize_t count = send(m_descriptor, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0 || !isTransientError(errno))
            return count;
    }
}

void connection_stream::recordStatus(std::string_view answer)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t statusDigits = 3;
    constexpr std::array<std::string_view, 4> closing {"400", "413", "414", "431"};
    if (answer.substr(0, version.size()) != version)
        return;
    const std::string_view status = answer.substr(version.size(), statusDigits);
    if (std::find(closing.begin(), closing.end(), status) != closing.end())
        m_mustClose = true;
}

bool connection_stream::waitFor(short events, clock::duration limit) const
{
    pollfd ready {.fd = m_descriptor, .events = events, .revents = 0};
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(limit);
    return poll(&ready, 1, static_cast<int>(millis.count())) > 0;
}

bool connection_stream::waitReadableOrEvicted(clock::duration grace, clock::duration limit,
                                              bool idle) const
{
    const clock::time_point end = clock::now() + limit;
    if (waitFor(POLLIN, std::min(grace, limit)))
        return true;
    while (clock::now() < end) {
        const bool stopping = m_pool.isClosingIdle();
        if (stopping && idle)
            return false;
        std::array<pollfd, 2> events {
            pollfd {.fd = m_descriptor, .events = POLLIN, .revents = 0},
            pollfd {.fd = m_pool.evictionDescriptor(), .events = POLLIN, .revents = 0}};
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - clock::now());
        const int ready = poll(events.data(), stopping ? 1 : 2, static_cast<int>(left.count()));
        if (events[0].revents != 0)
            return true;
        if (ready > 0 && !m_pool.isClosingIdle() && m_pool.tryClaimEviction())
            return false;
    }
    return false;
}

void connection_stream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage native {};
    socklen_t size = sizeof native;
    if (getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&native), &size) == 0)
        readAddress(native, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage native {};
    socklen_t size = sizeof native;
    if (getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&native), &size) == 0)
        readAddress(native, ip, port);
}

} // namespace quetzal
