#include "transport/link/socket_handle.h"

#include "foundation/errors/result_code.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace quetzal {

namespace {

constexpr int listenBacklog = 512;

std::optional<sockaddr_in> socketAddress(const endpoint &address)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(address.port));
    if (inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) != 1)
        return std::nullopt;
    return native;
}

void enable(int descriptor, int level, int option)
{
    const int on = 1;
    setsockopt(descriptor, level, option, &on, sizeof on);
}

socket_handle openSocket()
{
    return socket_handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

} // namespace

socket_handle &socket_handle::operator=(socket_handle &&other) noexcept
{
    if (this != &other) {
        reset();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

void socket_handle::reset()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
    m_descriptor = -1;
}

socket_handle listenAt(const endpoint &address)
{
    const std::optional<sockaddr_in> native = socketAddress(address);
    socket_handle listener = openSocket();
    if (native.has_value() && listener.isOpen()) {
        enable(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR);
        const auto *generic = reinterpret_cast<const sockaddr *>(&*native);
        if (bind(listener.descriptor(), generic, sizeof *native) == 0
            && listen(listener.descriptor(), listenBacklog) == 0)
            return listener;
    }
    throw std::system_error(make_error_code(result_code::AddressInUse),
                            "cannot listen at " + toText(address));
}

socket_handle beginConnect(const endpoint &address)
{
    const std::optional<sockaddr_in> native = socketAddress(address);
    socket_handle connecting = openSocket();
    if (!native.has_value() || !connecting.isOpen())
        return {};
    enable(connecting.descriptor(), IPPROTO_TCP, TCP_NODELAY);
    const auto *generic = reinterpret_cast<const sockaddr *>(&*native);
    if (connect(connecting.descriptor(), generic, sizeof *native) != 0 && errno != EINPROGRESS)
        return {};
    return connecting;
}

socket_handle acceptFrom(const socket_handle &listener)
{
    socket_handle accepted(
        accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.isOpen())
        enable(accepted.descriptor(), IPPROTO_TCP, TCP_NODELAY);
    return accepted;
}

bool isConnected(const socket_handle &socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    const int outcome = getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    return outcome == 0 && error == 0;
}

int localPort(const socket_handle &socket)
{
    sockaddr_in native {};
    socklen_t size = sizeof native;
    if (getsockname(socket.descriptor(), reinterpret_cast<sockaddr *>(&native), &size) != 0)
        return 0;
    return ntohs(native.sin_port);
}

} // namespace quetzal
