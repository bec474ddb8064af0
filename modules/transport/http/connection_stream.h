#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace quetzal {

class connection_pool;

/** Time and size limits of one caller's connection. */
struct connection_limits
{
    /** Maximum time between two reads of one request, or for a write to make progress. */
    absl::Duration progressTimeout = absl::Seconds(5);
    /** Maximum time from the first byte of a request to its last. */
    absl::Duration requestTimeout = absl::Seconds(30);
    /** Maximum time that an idle connection is kept open between requests. */
    absl::Duration idleTimeout = absl::Seconds(15);
    /** Maximum size of one request, header and framing included. */
    std::size_t maxRequestBytes = std::size_t {5} * 1024 * 1024;

    bool operator==(const connection_limits &) const = default;
};

/**
 * Server side of one accepted connection, with limits on time and bytes.
 *
 * cpp-httplib limits only single reads; a caller that sends one byte every few seconds would occupy
 * a thread indefinitely. While other connections are queued for a thread, a connection is evicted
 * if it is idle, or if its request stalls or takes long to arrive. A request that has arrived
 * completely is never evicted. Bytes received after the end of a request stay buffered for the next
 * one.
 */
class connection_stream : public httplib::Stream
{
public:
    /** Does not take ownership of the descriptor; the pool must outlive the stream. */
    connection_stream(int descriptor, connection_limits limits, connection_pool &pool);

    /**
     * Waits for the first byte of a request. Returns false if the connection is to be closed
     * because it was idle for too long or evicted, the caller has closed its end, or the server is
     * stopping.
     */
    bool awaitRequest();

    /** Restarts the time and size limits for the next request. */
    void beginRequest();
    /** Returns false once the caller has closed its end. */
    bool isPeerConnected() const;
    /**
     * True if the bytes that follow can't be trusted to be the start of a request: a limit was
     * exceeded, the request was answered as malformed, or it was evicted before its end.
     */
    bool mustClose() const { return m_mustClose; }

    bool is_readable() const override; // NOLINT(readability-identifier-naming)
    bool is_writable() const override; // NOLINT(readability-identifier-naming)
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, // NOLINT(readability-identifier-naming)
                                int &port) const override;
    void get_local_ip_and_port(std::string &ip, // NOLINT(readability-identifier-naming)
                               int &port) const override;
    socket_t socket() const override { return m_descriptor; }

private:
    using clock = std::chrono::steady_clock;
    static constexpr std::size_t bufferBytes = 4096;

    bool hasBufferedBytes() const { return m_consumed < m_filled; }
    bool waitFor(short events, clock::duration limit) const;
    /**
     * Waits until bytes arrive, at most for the limit. Returns false early if the connection is
     * evicted, which can happen once the grace period has passed, or if it is idle and the server
     * is stopping.
     */
    bool waitReadableOrEvicted(clock::duration grace, clock::duration limit, bool idle) const;
    ssize_t fillBuffer();
    /** Makes mustClose() true if the answer reports a malformed or oversized request. */
    void recordStatus(std::string_view answer);

    int m_descriptor;
    connection_limits m_limits;
    connection_pool &m_pool;
    std::array<char, bufferBytes> m_buffer {};
    std::size_t m_consumed = 0;
    std::size_t m_filled = 0;
    std::size_t m_requestBytes = 0;
    clock::time_point m_requestBegin;
    bool m_mustClose = false;
};

} // namespace quetzal
