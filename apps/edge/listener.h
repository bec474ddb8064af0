#pragma once

#include "directory/target/target_record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace quetzal {

/** Accepts TCP connections on one address. */
class listener
{
public:
    using callback = std::function<void(boost::asio::ip::tcp::socket)>;
    /** Receives the cause. */
    using failure_callback = std::function<void(const boost::system::error_code &)>;

    /**
     * Binds and starts accepting; onFailed is invoked for each connection that can't be accepted.
     * Throws std::system_error if the address can't be bound.
     */
    listener(boost::asio::io_context &loop, const network_address &address, callback onConnection,
             failure_callback onFailed);

    /** Stops accepting connections. */
    void stop();

private:
    /** Waits for the next connection. */
    void accept();
    /** Accepts the connections that are waiting, at most as many as one turn may. */
    void acceptWaiting();
    void acceptLater(const boost::system::error_code &cause);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    callback m_onConnection;
    failure_callback m_onFailed;
};

} // namespace quetzal
