#include "apps/edge/target_connection.h"

#include "apps/edge/socket_options.h"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds connectTimeout {400};
/** Answers to other requests that are skipped before the exchange fails. */
constexpr int maxSkippedAnswers = 2;
/** The total length of their bodies. */
constexpr std::size_t maxSkippedBytes = std::size_t {1024} * 1024;

} // namespace

target_connection::target_connection(boost::asio::io_context &loop, network_address address)
    : m_socket(loop)
    , m_timer(loop)
    , m_address(std::move(address))
{
}

void target_connection::start(target_request request, exchange_callbacks callbacks)
{
    m_request = std::move(request);
    m_callbacks = std::move(callbacks);
    m_reader = response_reader(m_request.isHead);
    m_input.clear();
    ++m_exchangeCount;
    m_isBusy = true;
    m_isSent = false;
    m_isBroken = false;
    m_isHeadAccepted = false;
    m_isSkipping = false;
    m_isPaused = false;
    m_isHeld = false;
    m_skipped = 0;
    m_skippedBytes = 0;
    if (m_isOpen)
        write();
    else
        connect();
}

void target_connection::connect()
{
    const auto self = shared_from_this();
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self](const error_code &error) {
        if (!error && !self->m_isOpen)
            self->fail("connect_timeout");
    });
    m_socket.async_connect(endpointOf(m_address), [self](const error_code &error) {
        if (self->m_isClosed)
            return;
        self->m_timer.cancel();
        if (error) {
            self->fail("connect_failed");
            return;
        }
        self->m_isOpen = true;
        setConnectionOptions(self->m_socket);
        self->write();
    });
}

void target_connection::write()
{
    const auto self = shared_from_this();
    m_isSent = true;
    m_isWriting = true;
    const std::array<boost::asio::const_buffer, 2> bytes {boost::asio::buffer(m_request.head),
                                                          boost::asio::buffer(*m_request.body)};
    boost::asio::async_write(m_socket, bytes, [self](const error_code &error, std::size_t) {
        self->m_isWriting = false;
        self->m_request.release();
        self->m_isBroken = self->m_isBroken || error;
        if (error && !self->m_isClosed && !self->m_isReading)
            self->fail("write_failed");
    });
    read();
}

void target_connection::read()
{
    if (m_isReading || m_isPaused || m_isHeld || m_isClosed)
        return;
    const auto self = shared_from_this();
    m_isReading = true;
    m_socket.async_read_some(boost::asio::buffer(m_buffer),
                             [self](const error_code &error, std::size_t count) {
                                 self->m_isReading = false;
                                 if (self->m_isClosed)
                                     return;
                                 // Of a reset during the upload, only the write may learn.
                                 const bool isUploadOver = !self->m_isWriting && !self->m_isBroken;
                                 if (error)
                                     self->onEnd(error == boost::asio::error::eof && isUploadOver);
                                 else
                                     self->onBytes(count);
                             });
}

void target_connection::onBytes(std::size_t count)
{
    if (!m_isBusy) {
        close();
        return;
    }
    m_lastReadBytes = count;
    m_input.append(m_buffer.data(), count);
    processInput();
    if (!m_isClosed)
        read();
}

void target_connection::processInput()
{
    const auto self = shared_from_this();
    while (m_isBusy) {
        m_input.erase(0, m_reader.consume(m_input));
        if (m_reader.isFaulty()) {
            fail("not_http", true);
            return;
        }
        if (m_reader.isHeadComplete() && !m_isHeadAccepted && !m_isSkipping) {
            const answer_disposition disposition = m_callbacks.onHead(m_reader.head());
            if (!m_isBusy)
                return;
            if (disposition == answer_disposition::Abandon
                || (disposition == answer_disposition::Skip && ++m_skipped > maxSkippedAnswers)) {
                fail("answer_unusable", true);
                return;
            }
            m_isHeadAccepted = disposition == answer_disposition::Accept;
            m_isSkipping = disposition == answer_disposition::Skip;
        }
        const std::string body = m_reader.takeBody();
        if (m_isHeadAccepted && !body.empty())
            m_callbacks.onBody(body);
        if (!m_isBusy)
            return;
        m_skippedBytes += m_isSkipping ? body.size() : 0;
        if (m_skippedBytes > maxSkippedBytes) {
            fail("answer_unusable", true);
            return;
        }
        if (!m_reader.isComplete())
            return;
        if (!m_isSkipping) {
            complete(!m_input.empty());
            return;
        }
        m_isSkipping = false;
        m_reader = response_reader(m_request.isHead);
        if (m_input.empty())
            return;
    }
}

void target_connection::complete(bool hasExtraBytes)
{
    m_keepAlive = m_reader.head().keepAlive && !hasExtraBytes && !m_isWriting;
    m_isBusy = false;
    m_isHeld = false;
    m_isPaused = false;
    const exchange_callbacks callbacks = std::exchange(m_callbacks, {});
    if (!m_keepAlive)
        close();
    callbacks.onComplete();
}

void target_connection::onEnd(bool isCleanEnd)
{
    const auto self = shared_from_this();
    if (!m_isBusy) {
        close();
        return;
    }
    if (isCleanEnd)
        m_reader.consumeEnd();
    if (!isCleanEnd || !m_reader.isComplete() || !m_isHeadAccepted) {
        fail(isCleanEnd ? "closed_early" : "broken");
        return;
    }
    const std::string body = m_reader.takeBody();
    if (!body.empty())
        m_callbacks.onBody(body);
    if (m_isBusy)
        complete(true);
}

void target_connection::fail(std::string_view reason, bool isTargetAlive)
{
    const auto self = shared_from_this();
    const bool wasBusy = std::exchange(m_isBusy, false);
    const exchange_callbacks callbacks = std::exchange(m_callbacks, {});
    close();
    if (wasBusy && callbacks.onFailed)
        callbacks.onFailed({.isSent = m_isSent, .isTargetAlive = isTargetAlive, .reason = reason});
}

void target_connection::cancel()
{
    m_isBusy = false;
    m_callbacks = {};
    close();
}

void target_connection::setPaused(bool paused)
{
    m_isPaused = paused;
    if (!paused && m_isOpen)
        read();
}

void target_connection::setHeld(bool held)
{
    m_isHeld = held;
    if (!held && m_isOpen)
        read();
}

bool target_connection::isReusable() const
{
    return m_isOpen && !m_isClosed && !m_isBusy && !m_isWriting && m_keepAlive;
}

void target_connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isOpen = false;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    const auto onClosed = std::exchange(m_onClosed, nullptr);
    if (onClosed)
        onClosed();
}

} // namespace quetzal
