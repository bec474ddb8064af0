#include "apps/edge/listener.h"

#include "apps/edge/socket_options.h"

#include <chrono>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

constexpr int backlog = 1024;
/** Connections must not wait until their callers have left. */
constexpr int maxConnectionsPerTurn = 256;
/** Delay before accepting again after a failure, for example without a free descriptor. */
constexpr std::chrono::milliseconds acceptRetryDelay {50};

} // namespace

listener::listener(boost::asio::io_context &loop, const network_address &address,
                   callback onConnection, failure_callback onFailed)
    : m_acceptor(loop)
    , m_timer(loop)
    , m_onConnection(std::move(onConnection))
    , m_onFailed(std::move(onFailed))
{
    m_acceptor.open(boost::asio::ip::tcp::v4());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpointOf(address));
    m_acceptor.listen(backlog);
    m_acceptor.non_blocking(true);
    accept();
}

void listener::accept()
{
    m_acceptor.async_accept([this](const error_code &error, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (error) {
            acceptLater(error);
            return;
        }
        m_onConnection(std::move(socket));
        acceptWaiting();
    });
}

void listener::acceptWaiting()
{
    for (int accepted = 1; accepted < maxConnectionsPerTurn; ++accepted) {
        error_code error;
        boost::asio::ip::tcp::socket socket = m_acceptor.accept(error);
        if (error == boost::asio::error::would_block)
            break;
        if (error) {
            acceptLater(error);
            return;
        }
        m_onConnection(std::move(socket));
    }
    accept();
}

void listener::acceptLater(const error_code &cause)
{
    m_onFailed(cause);
    m_timer.expires_after(acceptRetryDelay);
    m_timer.async_wait([this](const error_code &cancelled) {
        if (!cancelled && m_acceptor.is_open())
            accept();
    });
}

void listener::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_timer.cancel();
}

} // namespace quetzal
