#pragma once

#include "apps/edge/edge_context.h"
#include "http/message/request_reader.h"

#include <absl/time/time.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace quetzal {

class request_handler;

/** One connection from a caller; requests on it are served one after another. */
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(edge_context &context, boost::asio::ip::tcp::socket socket);
    ~caller_connection();

    void start();
    /** Writes bytes of the answer under way. */
    void send(const std::string &bytes);
    /** The answer is complete; close: no further request is read. */
    void finishAnswer(bool close);
    /** Breaks the connection off, so that an answer under way does not look complete. */
    void abort();
    /** Closes the connection if no request is under way; true when it did. */
    bool closeIfIdle();
    /** Since when no request was under way; the future while one is. */
    absl::Time idleSince() const
    {
        return m_handler || m_reader ? absl::InfiniteFuture() : m_idleSince;
    }
    bool isIdle() const { return !m_handler && m_input.empty(); }
    /** Bytes that the caller has not taken yet. */
    std::size_t pendingBytes() const { return m_writing.size() + m_pending.size(); }
    /** Told when fewer bytes are pending than before a write. */
    void setOnDrained(std::function<void()> onDrained) { m_onDrained = std::move(onDrained); }
    /** Told once when the connection is gone. */
    void setOnClosed(std::function<void()> onClosed) { m_onClosed = std::move(onClosed); }
    /** True when the request under way asked for the connection to stay open. */
    bool canStayOpen() const;

private:
    void read();
    void onBytes(std::size_t count);
    void onEnd();
    void process();
    void onFault(request_fault fault);
    /** The router's own answer to a request that was not read whole, after which it closes. */
    void rejectUnread(const rejection &reason);
    void startRequest();
    bool hasCallerDisconnected();
    void write();
    void beginLingeringClose();
    void close();
    void setTimer(absl::Duration after);
    void onTimer();
    void releaseHeldBytes();

    edge_context &m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, 8192> m_buffer {};
    std::string m_input;
    std::unique_ptr<request_reader> m_reader;
    std::shared_ptr<request_handler> m_handler;
    std::string m_pending;
    std::string m_writing;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    absl::Time m_idleSince;
    absl::Time m_firstByteAt = absl::InfinitePast();
    std::size_t m_heldBytes = 0;
    bool m_keepAlive = true;
    bool m_isReading = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
    bool m_continueSent = false;
};

} // namespace quetzal
