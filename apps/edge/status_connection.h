#pragma once

#include "http/message/request_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace quetzal {

/** Page returned by a status handler. */
struct status_page
{
    int status = 200;
    std::string body;
    /** Held until the page was sent. */
    std::shared_ptr<const void> transfer;
};

/** HTTP connection that serves internal pages: readiness, metrics and mirror copies. */
class status_connection : public std::enable_shared_from_this<status_connection>
{
public:
    /** Returns the page for a path with query. */
    using handler = std::function<status_page(const std::string &path)>;

    status_connection(boost::asio::io_context &loop, boost::asio::ip::tcp::socket socket,
                      handler answer);
    void start();

private:
    void read();
    void process();
    void write();
    void setTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    handler m_answer;
    std::array<char, 2048> m_buffer {};
    std::string m_input;
    std::string m_output;
    std::shared_ptr<const void> m_transfer;
    request_reader m_reader;
    bool m_keepAlive = true;
};

} // namespace quetzal
