#pragma once

#include "transport/link/message_network.h"

#include <utility>

namespace quetzal {

/** Owns one file descriptor and closes it at the end of its life. */
class socket_handle
{
public:
    socket_handle() = default;
    explicit socket_handle(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~socket_handle() { reset(); }
    socket_handle(socket_handle &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    socket_handle &operator=(socket_handle &&other) noexcept;
    socket_handle(const socket_handle &) = delete;
    socket_handle &operator=(const socket_handle &) = delete;

    int descriptor() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }
    /** Closes the descriptor, if any. */
    void reset();

private:
    int m_descriptor = -1;
};

/**
 * A non-blocking socket that listens at the address; port 0 lets the system choose one.
 * Throws std::system_error with AddressInUse when the address can't be had.
 */
socket_handle listenAt(const endpoint &address);
/** A non-blocking socket whose connection is under way; not open when none could be begun. */
socket_handle beginConnect(const endpoint &address);
/** The next waiting connection, non-blocking; not open when there is none. */
socket_handle acceptFrom(const socket_handle &listener);
/** True when the connection that beginConnect began is established. */
bool isConnected(const socket_handle &socket);
/** The local port of a socket. */
int localPort(const socket_handle &socket);

} // namespace quetzal
