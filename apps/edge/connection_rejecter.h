#pragma once

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace quetzal {

/** Options of connection_rejecter. */
struct rejecter_options
{
    /** The bytes to send to each caller. */
    std::string answer;
    /** The connections that stay open at most for their callers to read the answer. */
    std::size_t maxOpen = 0;
};

/**
 * Turns away connections with one answer, whatever their callers sent. Nothing is read, which is
 * what makes it cheap; so that the answer arrives, a connection stays open for a moment after it.
 */
class connection_rejecter
{
public:
    /** How long a connection stays open at least after the answer. */
    static constexpr absl::Duration minLinger = absl::Milliseconds(200);

    connection_rejecter(boost::asio::io_context &loop, rejecter_options options);

    /** Answers a connection. Beyond the bound, those answered longest ago are closed early. */
    void reject(boost::asio::ip::tcp::socket socket);
    /** Returns the number of connections that are answered and still open. */
    std::size_t openCount() const { return m_answered.size() + m_closing.size(); }

private:
    void scheduleClose();

    boost::asio::steady_timer m_timer;
    rejecter_options m_options;
    /** Connections answered since the timer was started, and before it was. */
    std::vector<boost::asio::ip::tcp::socket> m_answered;
    std::vector<boost::asio::ip::tcp::socket> m_closing;
    bool m_isTimerRunning = false;
};

} // namespace quetzal
