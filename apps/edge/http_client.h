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

/** Request made by http_client. */
struct http_call
{
    std::string method = "GET";
    /** Path with query. */
    std::string target;
    /** Sent as JSON unless it is empty. */
    std::string body;
    /** Limit from the start of the call to its complete answer. */
    absl::Duration timeout = absl::Seconds(1);
};

/** Answer to a call. */
struct http_result
{
    int status = 0;
    header_fields fields;
    std::string body;
};

/** HTTP client for one server: one call at a time, over a connection kept between calls. */
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    /** Receives the answer, or nullopt if the call failed or timed out. */
    using callback = std::function<void(std::optional<http_result>)>;

    http_client(boost::asio::io_context &loop, network_address address);

    /**
     * Starts a call; no other call may be in progress. A GET that fails on a reused connection
     * before the answer's head is complete is retried on a new connection.
     */
    void call(http_call call, callback done);
    /** Cancels the call in progress without invoking its callback, and closes the connection. */
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
    /** Identifies the current call, so that callbacks of earlier ones are ignored. */
    std::uint64_t m_generation = 0;
};

} // namespace quetzal
