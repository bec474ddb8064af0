#pragma once

#include "directory/target/target_record.h"
#include "forwarding/lifecycle/request_action.h"
#include "http/message/response_reader.h"

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quetzal {

/** Callbacks of an exchange; none is invoked after its end or after cancel(). */
struct exchange_callbacks
{
    /** Decides what happens to an answer once its head is parsed. */
    std::function<answer_disposition(const response_head &)> onHead;
    std::function<void(const std::string &body)> onBody;
    std::function<void()> onComplete;
    std::function<void(const exchange_failure &)> onFailed;
};

/** The bytes of a request to a target. */
struct target_request
{
    std::string head;
    std::shared_ptr<const std::string> body;
    /** True for HEAD, whose answer has no body. */
    bool isHead = false;

    /** Returns the memory of the bytes, once they are written. */
    void release()
    {
        std::string().swap(head);
        body.reset();
    }
};

/** One connection to a target, used for one exchange at a time. */
class target_connection : public std::enable_shared_from_this<target_connection>
{
public:
    target_connection(boost::asio::io_context &loop, network_address address);

    /** Connects if necessary, sends the request and reads its answer. */
    void start(target_request request, exchange_callbacks callbacks);
    /** Ends the exchange without invoking its callbacks, and closes the connection. */
    void cancel();
    /** Pauses or resumes reading, for flow control towards a slow caller. */
    void setPaused(bool paused);
    /** Stops or resumes reading, so that what arrives meanwhile is read at once. */
    void setHeld(bool held);
    /** True if the last read took all bytes that had arrived. */
    bool hasReadAll() const { return m_lastReadBytes < m_buffer.size(); }
    /** True if another exchange may use the connection. */
    bool isReusable() const;
    bool isOpen() const { return m_isOpen; }
    /** True if an exchange before the current one used the connection. */
    bool hasEarlierExchange() const { return m_exchangeCount > 1; }
    /** Sets how long the target keeps an idle connection open; zero if it did not announce this. */
    void setIdleTimeout(absl::Duration timeout) { m_idleTimeout = timeout; }
    absl::Duration idleTimeout() const { return m_idleTimeout; }
    /** Sets the callback that is invoked once, when the connection closes. */
    void setOnClosed(std::function<void()> onClosed) { m_onClosed = std::move(onClosed); }

private:
    void connect();
    void write();
    void read();
    void onBytes(std::size_t count);
    void onEnd(bool isCleanEnd);
    void processInput();
    void complete(bool hasExtraBytes);
    void fail(std::string_view reason, bool isTargetAlive = false);
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    network_address m_address;
    /** Kept until it is written. */
    target_request m_request;
    exchange_callbacks m_callbacks;
    response_reader m_reader;
    std::array<char, 8192> m_buffer {};
    /** Bytes that were received but not yet parsed. */
    std::string m_input;
    absl::Duration m_idleTimeout;
    std::function<void()> m_onClosed;
    bool m_isOpen = false;
    bool m_isBusy = false;
    bool m_isSent = false;
    bool m_isWriting = false;
    /** True if a write of this exchange failed. */
    bool m_isBroken = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isHeld = false;
    bool m_isClosed = false;
    bool m_isHeadAccepted = false;
    bool m_isSkipping = false;
    bool m_keepAlive = true;
    std::size_t m_lastReadBytes = 0;
    int m_exchangeCount = 0;
    int m_skipped = 0;
    std::size_t m_skippedBytes = 0;
};

} // namespace quetzal
