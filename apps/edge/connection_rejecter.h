#pragma once

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace quetzal {

/**
 * Turns away connections with one answer, whatever their callers sent. Nothing is read, which is
 * what makes it cheap; so that the answer arrives, a connection stays open for a moment after it.
 */
class connection_rejecter
{
public:
    /** How long a connection stays open at least after the answer. */
    static constexpr absl::Duration minLinger = absl::Milliseconds(200);

    /** @param answer the bytes to send to each caller */
    connection_rejecter(boost::asio::io_context &loop, std::string answer);

    void reject(boost::asio::ip::tcp::socket socket);

private:
    void scheduleClose();

    boost::asio::steady_timer m_timer;
    std::string m_answer;
    /** Connections answered since the timer was started, and before it was. */
    std::vector<boost::asio::ip::tcp::socket> m_answered;
    std::vector<boost::asio::ip::tcp::socket> m_closing;
    bool m_isTimerRunning = false;
};

} // namespace quetzal
