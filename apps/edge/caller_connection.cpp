#include "apps/edge/caller_connection.h"

#include "apps/edge/edge_clock.h"
#include "apps/edge/request_handler.h"
#include "apps/edge/socket_options.h"
#include "http/message/response_writer.h"
#include "platform/request_dialect.h"

#include <cerrno>
#include <chrono>
#include <sys/socket.h>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

/** Bound of input buffered for pipelined requests while another request is served. */
constexpr std::size_t maxPipelinedBytes = 16384;
/** Extra time before an idle connection is closed, beyond the configured idle timeout. */
constexpr absl::Duration idleSlack = absl::Milliseconds(300);
/** Time for the caller to read the last answer before the connection is closed. */
constexpr absl::Duration lingerTime = absl::Seconds(1);
constexpr int statusBadRequest = 400;
constexpr int statusTimeout = 408;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadTooLarge = 431;
constexpr int statusUnavailable = 503;
constexpr absl::Duration retryAfterFull = absl::Milliseconds(500);
/** Short, because another router can answer. */
constexpr absl::Duration retryAfterStopping = absl::Milliseconds(50);

caller_limits limitsOf(const edge_context &context)
{
    const auto &table = context.node.routes();
    return table ? table->limits() : caller_limits {};
}

} // namespace

caller_connection::caller_connection(edge_context &context, boost::asio::ip::tcp::socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_timer(context.loop)
    , m_output(context.node.answerMemory())
    , m_idleSince(edgeNow())
{
}

caller_connection::~caller_connection()
{
    releaseHeldBytes();
}

void caller_connection::start()
{
    setConnectionOptions(m_socket, answer_queue::maxStall);
    m_context.metrics.onConnection();
    setIdleTimer(edgeNow());
    read();
}

bool caller_connection::canStayOpen() const
{
    return m_keepAlive && !m_context.isStopping;
}

void caller_connection::read()
{
    if (m_isReading || m_isClosed || m_input.size() > maxPipelinedBytes)
        return;
    m_isReading = true;
    const auto self = shared_from_this();
    m_socket.async_read_some(boost::asio::buffer(m_buffer),
                             [self](const error_code &error, std::size_t count) {
                                 self->m_isReading = false;
                                 if (self->m_isClosed)
                                     return;
                                 if (error)
                                     self->onEnd();
                                 else
                                     self->onBytes(count);
                             });
}

void caller_connection::onBytes(std::size_t count)
{
    if (!m_isClosing) {
        m_input.append(m_buffer.data(), count);
        if (!m_handler)
            process();
    }
    read();
}

void caller_connection::onEnd()
{
    const auto handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler->onCallerDisconnected();
    close();
}

void caller_connection::process()
{
    if (m_isClosing || m_isClosed || m_input.empty() || m_output.isFull())
        return;
    const caller_limits limits = limitsOf(m_context);
    if (!m_reader) {
        m_reader = std::make_unique<request_reader>(
            request_limits {.headBytes = limits.headBytes, .bodyBytes = limits.bodyBytes});
        m_firstByteAt = edgeNow();
        m_continueSent = false;
        setTimer(limits.headTimeout);
    }
    const std::size_t used = m_reader->consume(m_input);
    m_input.erase(0, used);
    if (m_reader->fault() != request_fault::None) {
        onFault(m_reader->fault());
        return;
    }
    if (m_reader->isHeadComplete()) {
        const std::size_t held = m_reader->body().size();
        m_context.heldBytes += held - m_heldBytes;
        m_heldBytes = held;
    }
    if (m_context.heldBytes > m_context.maxHeldBytes) {
        rejectUnread({.status = statusUnavailable,
                      .code = result_code::RouterQueueFull,
                      .retryAfter = retryAfterFull});
        return;
    }
    if (m_reader->isComplete()) {
        startRequest();
        return;
    }
    if (m_reader->isHeadComplete() && used > 0) {
        setTimer(limits.headTimeout);
        if (m_reader->head().expectsContinue && !std::exchange(m_continueSent, true))
            send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::onFault(request_fault fault)
{
    rejection reason {.status = statusBadRequest, .code = result_code::MalformedRequest};
    if (fault == request_fault::HeadTooLarge)
        reason.status = statusHeadTooLarge;
    if (fault == request_fault::BodyTooLarge)
        reason = {.status = statusBodyTooLarge, .code = result_code::BodyTooLarge};
    // The configuration may allow what the limits before it do not.
    const bool isTooLarge = fault != request_fault::Malformed;
    rejectUnread(isTooLarge && !m_context.node.routes()
                     ? forwarding_node::missingConfigurationRejection()
                     : reason);
}

void caller_connection::rejectUnread(const rejection &reason)
{
    std::string requestId;
    std::string method;
    if (m_reader && m_reader->isHeadComplete()) {
        const auto request = platform::describeRequest(m_reader->head());
        requestId = request ? request->id : std::string();
        method = m_reader->head().method;
    }
    m_context.log.line("request_unread")
        .text("request", requestId)
        .number("status", reason.status)
        .number("code", static_cast<int>(reason.code))
        .number("heldBytes", static_cast<std::int64_t>(m_context.heldBytes))
        .number("ageMs", absl::ToInt64Milliseconds(edgeNow() - m_firstByteAt));
    send(response_writer(method).whole(platform::rejectionHead(reason, requestId),
                                       platform::rejectionBody(reason), true));
    finishAnswer(true);
}

bool caller_connection::hasCallerDisconnected()
{
    char next = 0;
    const ssize_t peeked
        = recv(m_socket.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    const bool isBroken = peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return peeked == 0 || isBroken;
}

void caller_connection::startRequest()
{
    if (m_input.empty() && hasCallerDisconnected()) {
        m_context.metrics.onCallerGone();
        m_context.log.line("caller_gone_before_start")
            .number("ageMs", absl::ToInt64Milliseconds(edgeNow() - m_firstByteAt));
        close();
        return;
    }
    m_keepAlive = m_reader->head().keepAlive;
    m_timer.cancel();
    const std::size_t bodyBytes = m_reader->body().size();
    m_context.metrics.onRequest(bodyBytes);
    m_handler = std::make_shared<request_handler>(
        m_context, weak_from_this(), m_reader->head(), m_reader->takeBody(),
        request_arrival {.firstByteAt = m_firstByteAt,
                         .quietTime = m_firstByteAt - m_idleSince,
                         .ordinal = ++m_requestCount,
                         .bodyBytes = bodyBytes});
    m_reader.reset();
    const auto handler = m_handler;
    handler->start();
}

void caller_connection::releaseHeldBytes()
{
    m_context.heldBytes -= std::exchange(m_heldBytes, 0);
}

void caller_connection::send(std::string bytes)
{
    if (m_isClosed)
        return;
    m_output.add(std::move(bytes), edgeNow());
    write();
}

void caller_connection::write()
{
    if (m_isWriting || m_isClosed)
        return;
    if (m_output.isEmpty()) {
        if (m_isClosing)
            beginLingeringClose();
        return;
    }
    m_isWriting = true;
    const std::string_view bytes = m_output.next();
    m_socket.async_write_some(
        boost::asio::buffer(bytes.data(), bytes.size()),
        [self = shared_from_this()](const error_code &error, std::size_t count) {
            self->m_isWriting = false;
            if (self->m_isClosed)
                return;
            if (error)
                self->onEnd();
            else
                self->onWritten(count);
        });
}

void caller_connection::onWritten(std::size_t count)
{
    const bool wasFull = m_output.isFull();
    m_output.onWritten(count, edgeNow());
    if (m_output.isEmpty() && !m_handler)
        m_idleSince = edgeNow();
    if (m_onDrained && !m_output.isFull())
        m_onDrained();
    // Requests that arrived meanwhile wait for their answers to find room.
    if (wasFull && !m_output.isFull() && !m_handler) {
        process();
        read();
    }
    write();
}

void caller_connection::finishAnswer(bool close)
{
    const auto self = shared_from_this();
    const absl::Time now = edgeNow();
    m_handler.reset();
    m_idleSince = now;
    m_onDrained = nullptr;
    releaseHeldBytes();
    if (close) {
        m_isClosing = true;
        setIdleTimer(now);
        write();
        return;
    }
    setIdleTimer(now);
    boost::asio::post(m_context.loop, [self] {
        if (!self->m_handler)
            self->process();
        self->read();
    });
}

void caller_connection::beginLingeringClose()
{
    error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_input.clear();
    setTimer(lingerTime);
    read();
}

void caller_connection::abort()
{
    m_handler.reset();
    close();
}

void caller_connection::endForShutdown()
{
    const auto handler = m_handler;
    if (handler) {
        handler->onShutdownDue();
        return;
    }
    if (m_reader && !m_isClosing)
        rejectUnread({.status = statusUnavailable,
                      .code = result_code::RouterStopping,
                      .retryAfter = retryAfterStopping});
}

bool caller_connection::closeIfIdle()
{
    const bool hasRequest = m_handler || m_reader || !m_input.empty();
    if (m_isClosing || hasRequest || !m_output.isEmpty())
        return false;
    return closeUnlessInputArrived();
}

bool caller_connection::closeUnlessInputArrived()
{
    // A request that has arrived would be reset unread.
    error_code error;
    if (m_socket.available(error) > 0 && !error)
        return false;
    close();
    return true;
}

void caller_connection::close()
{
    if (m_isClosed)
        return;
    const auto self = shared_from_this();
    m_isClosed = true;
    m_timer.cancel();
    m_onDrained = nullptr;
    releaseHeldBytes();
    if (!m_isWriting)
        m_output.clear();
    error_code ignored;
    m_socket.close(ignored);
    const auto onClosed = std::exchange(m_onClosed, nullptr);
    if (onClosed)
        onClosed();
}

void caller_connection::setTimer(absl::Duration after)
{
    m_timer.expires_after(absl::ToChronoNanoseconds(after));
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    m_timer.async_wait([weak](const error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->onTimer();
    });
}

absl::Time caller_connection::idleEnd() const
{
    return m_idleSince + (m_isClosing ? lingerTime : limitsOf(m_context).idleTimeout + idleSlack);
}

void caller_connection::setIdleTimer(absl::Time now)
{
    const absl::Time end = m_output.isEmpty() ? idleEnd() : m_output.stalledAt();
    setTimer(end - now);
}

void caller_connection::onTimer()
{
    if (m_handler)
        return;
    const absl::Time now = edgeNow();
    const bool isHeadDue = m_reader && !m_isClosing;
    const bool isTaking = !m_output.isEmpty() && now < m_output.stalledAt();
    const bool isIdleAllowed = m_output.isEmpty() && !isHeadDue && now < idleEnd();
    if (isTaking || isIdleAllowed) {
        setIdleTimer(now);
        return;
    }
    if (!m_output.isEmpty())
        m_context.log.line("caller_stalled")
            .number("pendingBytes", static_cast<std::int64_t>(m_output.size()));
    if (!m_output.isEmpty() || !isHeadDue)
        close();
    else
        rejectUnread({.status = statusTimeout, .code = result_code::MalformedRequest});
}

} // namespace quetzal
