#include "transport/link/peer_connection.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t readBufferBytes = 64 * 1024;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

peer_connection::peer_connection(socket_handle socket, bool isDialled, link_clock::time_point now)
    : openedAt(now)
    , lastReceived(now)
    , lastSent(now)
    , lastMessage(now)
    , m_socket(std::move(socket))
    , m_isDialled(isDialled)
{
}

void peer_connection::enqueue(std::string_view frames)
{
    if (isDrained()) {
        m_writeBuffer.clear();
        m_writtenBytes = 0;
    }
    m_writeBuffer.append(frames);
}

peer_connection::io_result peer_connection::flush(std::uint64_t &written,
                                                  link_clock::time_point now)
{
    while (!isDrained()) {
        const ssize_t count = send(m_socket.descriptor(), m_writeBuffer.data() + m_writtenBytes,
                                   m_writeBuffer.size() - m_writtenBytes, MSG_NOSIGNAL);
        if (count < 0)
            return wouldBlock() ? io_result::Blocked : io_result::Closed;
        m_writtenBytes += static_cast<std::size_t>(count);
        written += static_cast<std::uint64_t>(count);
        lastSent = now;
    }
    return io_result::Complete;
}

peer_connection::io_result peer_connection::receive(std::uint64_t &received,
                                                    link_clock::time_point now)
{
    std::array<char, readBufferBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t count = recv(m_socket.descriptor(), buffer.data(), buffer.size(), 0);
    if (count < 0)
        return wouldBlock() ? io_result::Blocked : io_result::Closed;
    if (count == 0)
        return io_result::Closed;
    received += static_cast<std::uint64_t>(count);
    lastReceived = now;
    m_reader.append({buffer.data(), static_cast<std::size_t>(count)});
    return io_result::Complete;
}

} // namespace quetzal
