#include "apps/edge/status_connection.h"

#include "apps/edge/socket_options.h"
#include "http/message/response_writer.h"

#include <boost/asio/write.hpp>

#include <chrono>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

constexpr request_limits statusLimits {.headBytes = 4096, .bodyBytes = 4096};
constexpr std::chrono::seconds idleTimeout {30};

} // namespace

status_connection::status_connection(boost::asio::io_context &loop,
                                     boost::asio::ip::tcp::socket socket, handler answer)
    : m_socket(std::move(socket))
    , m_timer(loop)
    , m_answer(std::move(answer))
    , m_reader(statusLimits)
{
}

void status_connection::start()
{
    setConnectionOptions(m_socket);
    read();
}

void status_connection::setTimer()
{
    m_timer.expires_after(idleTimeout);
    m_timer.async_wait([weak = weak_from_this()](const error_code &error) {
        const auto self = weak.lock();
        error_code ignored;
        if (!error && self)
            self->m_socket.close(ignored);
    });
}

void status_connection::read()
{
    setTimer();
    m_socket.async_read_some(
        boost::asio::buffer(m_buffer),
        [self = shared_from_this()](const error_code &error, std::size_t count) {
            if (error)
                return;
            self->m_input.append(self->m_buffer.data(), count);
            self->process();
        });
}

void status_connection::process()
{
    m_input.erase(0, m_reader.consume(m_input));
    if (m_reader.fault() != request_fault::None)
        return;
    if (!m_reader.isComplete()) {
        read();
        return;
    }
    const status_page page = m_answer(m_reader.head().target);
    m_transfer = page.transfer;
    m_keepAlive = m_reader.head().keepAlive;
    response_head head {.status = page.status};
    head.fields.add("Content-Type", "text/plain; version=0.0.4");
    m_output = response_writer(m_reader.head().method).whole(head, page.body, !m_keepAlive);
    m_reader = request_reader(statusLimits);
    write();
}

void status_connection::write()
{
    boost::asio::async_write(m_socket, boost::asio::buffer(m_output),
                             [self = shared_from_this()](const error_code &error, std::size_t) {
                                 std::string().swap(self->m_output);
                                 self->m_transfer.reset();
                                 if (error || !self->m_keepAlive)
                                     return;
                                 if (self->m_input.empty())
                                     self->read();
                                 else
                                     self->process();
                             });
}

} // namespace quetzal
