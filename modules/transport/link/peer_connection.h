#pragma once

#include "transport/link/frame.h"
#include "transport/link/socket_handle.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzal {

/** Monotonic time of the network thread. */
using link_clock = std::chrono::steady_clock;

/** One TCP connection to a peer and the bytes under way on it. */
class peer_connection
{
public:
    /** How an attempt to read or write ended. */
    enum class io_result
    {
        /** Everything was written, or everything waiting was read. */
        Complete,
        /** The socket takes no more bytes for now. */
        Blocked,
        /** The connection is closed or broken. */
        Closed,
    };

    peer_connection(socket_handle socket, bool isDialled, link_clock::time_point now);

    /** Adds whole frames to the bytes to be written. */
    void enqueue(std::string_view frames);
    /** Writes as much as the socket takes; adds the count to written. */
    io_result flush(std::uint64_t &written, link_clock::time_point now);
    /** Reads what waits, at most one buffer; adds the count to received. */
    io_result receive(std::uint64_t &received, link_clock::time_point now);

    int descriptor() const { return m_socket.descriptor(); }
    const socket_handle &socket() const { return m_socket; }
    /** True when this process opened the connection. */
    bool isDialled() const { return m_isDialled; }
    /** True when every enqueued byte was written. */
    bool isDrained() const { return m_writtenBytes == m_writeBuffer.size(); }
    frame_reader &reader() { return m_reader; }

    /** Who is at the other end; known from the start for dialled connections. */
    std::optional<node_id> peer;
    /** True once the peer's first frame named it. */
    bool hasReceivedHello = false;
    /** True until the connection is established. */
    bool connecting = false;
    /** True while the network thread waits for the socket to take more bytes. */
    bool awaitsWritable = false;
    link_clock::time_point openedAt;
    link_clock::time_point lastReceived;
    link_clock::time_point lastSent;
    /** When the last message of the application arrived. */
    link_clock::time_point lastMessage;

private:
    socket_handle m_socket;
    bool m_isDialled;
    frame_reader m_reader;
    std::string m_writeBuffer;
    std::size_t m_writtenBytes = 0;
};

} // namespace quetzal
