#pragma once

#include "transport/link/frame.h"
#include "transport/link/socket_handle.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzal {

/** Monotonic clock of the network thread. */
using link_clock = std::chrono::steady_clock;

/** One TCP connection to a peer, with its buffers for sent and received bytes. */
class peer_connection
{
public:
    /** Result of reading from or writing to the socket. */
    enum class io_result
    {
        /** All queued bytes were written, or bytes were read; more may be available. */
        Complete,
        /** The socket accepts or has no more bytes for now. */
        Blocked,
        /** The connection was closed or failed. */
        Closed,
    };

    peer_connection(socket_handle socket, bool isDialled, link_clock::time_point now);

    /** Appends whole frames to the bytes to be written. */
    void enqueue(std::string_view frames);
    /** Writes as many bytes as the socket accepts; adds their number to written. */
    io_result flush(std::uint64_t &written, link_clock::time_point now);
    /** Reads available bytes, at most one buffer; adds their number to received. */
    io_result receive(std::uint64_t &received, link_clock::time_point now);

    int descriptor() const { return m_socket.descriptor(); }
    const socket_handle &socket() const { return m_socket; }
    /** True if this process opened the connection. */
    bool isDialled() const { return m_isDialled; }
    /** True if all enqueued bytes have been written. */
    bool isDrained() const { return m_writtenBytes == m_writeBuffer.size(); }
    frame_reader &reader() { return m_reader; }

    /** The process at the other end; known from the start for dialled connections. */
    std::optional<node_id> peer;
    /** True once the peer's first frame has identified it. */
    bool hasReceivedHello = false;
    /** True for a dialled connection until it is established. */
    bool isConnecting = false;
    /** True while the network thread waits for the socket to become writable. */
    bool awaitsWritable = false;
    link_clock::time_point openedAt;
    link_clock::time_point lastReceived;
    link_clock::time_point lastSent;
    /** When the last message was received, not counting hello and empty frames. */
    link_clock::time_point lastMessage;

private:
    socket_handle m_socket;
    bool m_isDialled;
    frame_reader m_reader;
    std::string m_writeBuffer;
    std::size_t m_writtenBytes = 0;
};

} // namespace quetzal
