#pragma once

#include "directory/target/target_record.h"
#include "http/message/response_reader.h"

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

/** A call of http_client. */
struct http_call
{
    std::string method = "GET";
    std::string target;
    /** Sent as JSON unless it is empty. */
    std::string body;
    /** From the call to its whole answer. */
    absl::Duration timeout = absl::Seconds(1);
};

/** The answer to a call. */
struct http_result
{
    int status = 0;
    std::string body;
};

/** Calls one server, one call after another, over a connection that is kept between the calls. */
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    /** Gets the answer, or nothing when there was none in time. */
    using callback = std::function<void(std::optional<http_result>)>;

    http_client(boost::asio::io_context &loop, network_address address);

    /** Starts a call; there must be none under way. */
    void call(http_call call, callback done);
    /** Ends the call under way without telling its caller, and closes the connection. */
    void stop();

private:
    void connect();
    void send();
    void read();
    void onBytes(std::size_t count);
    void onConnectionLost();
    void finish(std::optional<http_result> result);
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    network_address m_address;
    http_call m_call;
    callback m_done;
    std::string m_request;
    response_reader m_reader;
    std::array<char, 16384> m_buffer {};
    std::string m_input;
    bool m_isReused = false;
    /** Tells callbacks of earlier calls and connections apart. */
    std::uint64_t m_generation = 0;
};

} // namespace quetzal
