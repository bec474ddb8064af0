#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <functional>
#include <string>

namespace quetzal::standins {

/**
 * An accepted TCP connection on which a handler can simulate connection faults.
 *
 * cpp-httplib always answers a request once its handler returns; abandon() lets a handler close the
 * connection without an answer or in the middle of one.
 */
class connection_stream final : public httplib::Stream
{
public:
    /** Takes ownership of the accepted socket; the destructor closes it. */
    explicit connection_stream(socket_t socket);
    ~connection_stream() override;
    connection_stream(const connection_stream &) = delete;
    connection_stream &operator=(const connection_stream &) = delete;

    /** Returns the connection that the calling thread serves; null outside of a handler. */
    static connection_stream *current();

    /** Discards all further output and closes the connection when the handler returns. */
    void abandon();
    /** True once abandon() has been called. */
    bool isAbandoned() const { return m_abandoned; }
    /** True if the peer has closed its side of the connection or the socket reports an error. */
    bool isPeerDisconnected() const;
    /**
     * Waits for the first byte of a request. Returns false when the limit expires, the peer has
     * disconnected or isStopped returns true.
     */
    bool waitForRequest(std::chrono::milliseconds limit, const std::function<bool()> &isStopped);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *buffer, size_t size) override;
    ssize_t write(const char *data, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

private:
    bool hasBufferedBytes() const { return m_begin < m_end; }

    static constexpr std::size_t bufferSize = 16384;

    socket_t m_socket;
    bool m_abandoned = false;
    std::array<char, bufferSize> m_buffer {};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace quetzal::standins
