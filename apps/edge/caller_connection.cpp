#include "apps/edge/caller_connection.h"

#include "apps/edge/edge_clock.h"
#include "apps/edge/request_handler.h"
#include "apps/edge/socket_options.h"
#include "platform/request_dialect.h"

#include <boost/asio/write.hpp>

#include <cerrno>
#include <chrono>
#include <sys/socket.h>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

/** Bound of input buffered for pipelined requests while another request is served. */
constexpr std::size_t maxPipelinedBytes = 65536;
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
    , m_idleSince(edgeNow())
{
}

caller_connection::~caller_connection()
{
    releaseHeldBytes();
}

void caller_connection::start()
{
    setConnectionOptions(m_socket);
    m_context.metrics.onConnection();
    setTimer(limitsOf(m_context).idleTimeout + idleSlack);
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
    if (m_isClosing || m_isClosed || m_input.empty())
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
    rejectUnread(reason);
}

void caller_connection::rejectUnread(const rejection &reason)
{
    std::string requestId;
    if (m_reader && m_reader->isHeadComplete()) {
        const auto request = platform::describeRequest(m_reader->head());
        requestId = request ? request->id : std::string();
    }
    m_context.log.line("request_unread")
        .text("request", requestId)
        .number("status", reason.status)
        .number("code", static_cast<int>(reason.code))
        .number("heldBytes", static_cast<std::int64_t>(m_context.heldBytes))
        .number("ageMs", absl::ToInt64Milliseconds(edgeNow() - m_firstByteAt));
    const std::string text = platform::rejectionBody(reason);
    send(toBytes(platform::rejectionHead(reason, requestId), {.length = text.size(), .close = true})
         + text);
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
    m_context.metrics.onRequest(m_reader->body().size());
    m_handler = std::make_shared<request_handler>(
        m_context, weak_from_this(), m_reader->head(), m_reader->body(),
        request_arrival {.firstByteAt = m_firstByteAt,
                         .quietTime = m_firstByteAt - m_idleSince,
                         .ordinal = ++m_requestCount,
                         .bodyBytes = m_reader->body().size()});
    m_reader.reset();
    const auto handler = m_handler;
    handler->start();
}

void caller_connection::releaseHeldBytes()
{
    m_context.heldBytes -= std::exchange(m_heldBytes, 0);
}

void caller_connection::send(const std::string &bytes)
{
    if (m_isClosed)
        return;
    m_pending += bytes;
    write();
}

void caller_connection::write()
{
    if (!m_writing.empty() || m_isClosed)
        return;
    if (m_pending.empty()) {
        if (m_isClosing)
            beginLingeringClose();
        return;
    }
    m_writing = std::exchange(m_pending, {});
    const auto self = shared_from_this();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self](const error_code &error, std::size_t) {
                                 if (self->m_isClosed)
                                     return;
                                 self->m_writing.clear();
                                 if (error) {
                                     self->onEnd();
                                     return;
                                 }
                                 if (self->m_onDrained)
                                     self->m_onDrained();
                                 self->write();
                             });
}

void caller_connection::finishAnswer(bool close)
{
    const auto self = shared_from_this();
    m_handler.reset();
    m_idleSince = edgeNow();
    m_onDrained = nullptr;
    releaseHeldBytes();
    if (close) {
        m_isClosing = true;
        setTimer(lingerTime);
        write();
        return;
    }
    setTimer(limitsOf(m_context).idleTimeout + idleSlack);
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
    if (m_isClosing || !isIdle() || m_reader)
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

void caller_connection::onTimer()
{
    if (m_handler)
        return;
    if (m_isClosing || !m_reader) {
        close();
        return;
    }
    rejectUnread({.status = statusTimeout, .code = result_code::MalformedRequest});
}

} // namespace quetzal
