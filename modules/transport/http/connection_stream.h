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

/** Limits of one caller's connection. */
struct connection_limits
{
    /** Longest pause between two reads of one request, or for a write to make progress. */
    absl::Duration progressTimeout = absl::Seconds(5);
    /** Longest time from the first byte of a request to its last. */
    absl::Duration requestTimeout = absl::Seconds(30);
    /** Longest time that an idle connection is kept between requests. */
    absl::Duration idleTimeout = absl::Seconds(15);
    /** Most bytes of one request, header and framing included. */
    std::size_t maxRequestBytes = std::size_t {5} * 1024 * 1024;

    bool operator==(const connection_limits &) const = default;
};

/**
 * The server's end of one accepted connection, with limits on time and bytes.
 *
 * cpp-httplib limits only single reads; a caller who sends a byte every few seconds would hold a
 * thread for ever. While other connections wait for a thread, an idle connection and one whose
 * request stalls or takes long to arrive are closed in their favour; an arrived request never is.
 * Bytes that arrive after a request stay buffered for the next one.
 */
class connection_stream : public httplib::Stream
{
public:
    /** The descriptor stays the caller's to close; the pool must outlive the stream. */
    connection_stream(int descriptor, connection_limits limits, connection_pool &pool);

    /**
     * True when a request begins; false when the connection is to be closed, because it was idle
     * for too long, gave way to a waiting one, or the server is stopping.
     */
    bool awaitRequest();

    /** Starts the limits of the next request. */
    void beginRequest();
    /** False once the caller has closed its end. */
    bool isPeerConnected() const;
    /**
     * True when what follows on the connection can't be trusted to be the start of a request: a
     * limit was passed, the request was answered as malformed, or it gave way before its end.
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
    bool waitReadableOrEvicted(clock::duration grace, clock::duration limit, bool idle) const;
    ssize_t fillBuffer();
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
