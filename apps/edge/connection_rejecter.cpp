#include "apps/edge/connection_rejecter.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace quetzal {

using boost::system::error_code;

connection_rejecter::connection_rejecter(boost::asio::io_context &loop, rejecter_options options)
    : m_timer(loop)
    , m_options(std::move(options))
{
}

void connection_rejecter::reject(boost::asio::ip::tcp::socket socket)
{
    // The answer fits the empty buffer of a new connection; a caller that is gone needs none.
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.send(boost::asio::buffer(m_options.answer), 0, ignored);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    if (m_answered.size() >= m_options.maxOpen / 2)
        m_closing = std::exchange(m_answered, {});
    m_answered.push_back(std::move(socket));
    scheduleClose();
}

void connection_rejecter::scheduleClose()
{
    if (std::exchange(m_isTimerRunning, true))
        return;
    m_timer.expires_after(absl::ToChronoNanoseconds(minLinger));
    m_timer.async_wait([this](const error_code &error) {
        m_isTimerRunning = false;
        if (error)
            return;
        m_closing = std::exchange(m_answered, {});
        if (!m_closing.empty())
            scheduleClose();
    });
}

} // namespace quetzal
