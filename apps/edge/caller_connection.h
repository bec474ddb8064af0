#pragma once

#include "apps/edge/edge_context.h"
#include "forwarding/caller/answer_queue.h"
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

/** One connection from a caller; its requests are served one at a time, in order. */
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(edge_context &context, boost::asio::ip::tcp::socket socket);
    ~caller_connection();

    /** Starts reading requests. */
    void start();
    /** Writes bytes of the current answer. */
    void send(std::string bytes);
    /** Ends the current answer. @param close true to read no further request and close */
    void finishAnswer(bool close);
    /** Closes the connection at once, so that the current answer does not look complete. */
    void abort();
    /**
     * Answers the request in progress or half received, if any, because the process is about to
     * end.
     */
    void endForShutdown();
    /** Closes the connection if no request is in progress; returns true if it did. */
    bool closeIfIdle();
    /**
     * Returns when the connection became idle; infinite future while it has a request, or an answer
     * that the caller has not taken yet.
     */
    absl::Time idleSince() const
    {
        return m_handler || m_reader || !m_output.isEmpty() ? absl::InfiniteFuture() : m_idleSince;
    }
    /** True if the caller takes its answer so slowly that nothing is to be added. */
    bool isOutputFull() const { return m_output.isFull(); }
    /** Sets the callback invoked when the caller took bytes and more may be added. */
    void setOnDrained(std::function<void()> onDrained) { m_onDrained = std::move(onDrained); }
    /** Sets the callback that is invoked once, when the connection closes. */
    void setOnClosed(std::function<void()> onClosed) { m_onClosed = std::move(onClosed); }
    /** True if the current request allows keep-alive and the process is not shutting down. */
    bool canStayOpen() const;

private:
    void read();
    void onBytes(std::size_t count);
    void onEnd();
    /** Closes the connection if nothing arrived that was not read yet; returns true if it did. */
    bool closeUnlessInputArrived();
    void process();
    void onFault(request_fault fault);
    /** Rejects a request that was not received completely, and closes the connection. */
    void rejectUnread(const rejection &reason);
    void startRequest();
    bool hasCallerDisconnected();
    void write();
    void onWritten(std::size_t count);
    void beginLingeringClose();
    void close();
    void setTimer(absl::Duration after);
    /** Returns when a connection without an answer to take is closed. */
    absl::Time idleEnd() const;
    /** Sets the timer for a connection that waits for its caller to read or to send. */
    void setIdleTimer(absl::Time now);
    void onTimer();
    void releaseHeldBytes();

    edge_context &m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, 8192> m_buffer {};
    std::string m_input;
    std::unique_ptr<request_reader> m_reader;
    std::shared_ptr<request_handler> m_handler;
    answer_queue m_output;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    absl::Time m_idleSince;
    absl::Time m_firstByteAt = absl::InfinitePast();
    int m_requestCount = 0;
    std::size_t m_heldBytes = 0;
    bool m_keepAlive = true;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
    bool m_continueSent = false;
};

} // namespace quetzal
