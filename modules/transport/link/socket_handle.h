#pragma once

#include "transport/link/message_network.h"

#include <utility>

namespace quetzal {

/** Owns one file descriptor and closes it on destruction. */
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
 * Returns a non-blocking socket that listens on the address; with port 0 the system chooses one.
 * Throws std::system_error with AddressInUse if it can't listen on the address.
 */
socket_handle listenAt(const endpoint &address);
/** Starts a non-blocking connection; the returned socket is not open if that fails. */
socket_handle beginConnect(const endpoint &address);
/** Returns the next pending connection, non-blocking; not open if there is none. */
socket_handle acceptFrom(const socket_handle &listener);
/** True if the connection started by beginConnect() is established. */
bool isConnected(const socket_handle &socket);
/** Returns the local port of a socket, or 0 on error. */
int localPort(const socket_handle &socket);

} // namespace quetzal
