#include "apps/edge/http_client.h"

#include "apps/edge/socket_options.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

/** Far above a page of the store, or a copy of a whole prefix. */
constexpr std::size_t maxBodyBytes = std::size_t {16} * 1024 * 1024;

} // namespace

http_client::http_client(boost::asio::io_context &loop, network_address address)
    : m_socket(loop)
    , m_timer(loop)
    , m_address(std::move(address))
{
}

void http_client::call(http_call call, callback done)
{
    m_call = std::move(call);
    m_done = std::move(done);
    request_head head {.method = m_call.method, .target = m_call.target};
    head.fields.add("Host", m_address.host);
    if (!m_call.body.empty())
        head.fields.add("Content-Type", "application/json");
    const bool hasBody = m_call.method == "POST";
    m_request = toBytes(head, hasBody ? std::optional(m_call.body.size()) : std::nullopt);
    m_request += m_call.body;
    m_reader = response_reader();
    m_input.clear();
    const std::uint64_t generation = ++m_generation;
    m_timer.expires_after(absl::ToChronoNanoseconds(m_call.timeout));
    m_timer.async_wait([this, self = shared_from_this(), generation](const error_code &error) {
        if (error || generation != m_generation)
            return;
        close();
        finish(std::nullopt);
    });
    m_isReused = m_socket.is_open();
    if (m_isReused)
        send();
    else
        connect();
}

void http_client::connect()
{
    m_isReused = false;
    const std::uint64_t generation = m_generation;
    m_socket.async_connect(endpointOf(m_address),
                           [this, self = shared_from_this(), generation](const error_code &error) {
                               if (generation != m_generation)
                                   return;
                               if (error) {
                                   close();
                                   finish(std::nullopt);
                                   return;
                               }
                               setConnectionOptions(m_socket);
                               send();
                           });
}

void http_client::send()
{
    const std::uint64_t generation = m_generation;
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_request),
        [this, self = shared_from_this(), generation](const error_code &error, std::size_t) {
            if (generation != m_generation)
                return;
            if (error)
                onConnectionLost();
            else
                read();
        });
}

void http_client::read()
{
    const std::uint64_t generation = m_generation;
    m_socket.async_read_some(
        boost::asio::buffer(m_buffer),
        [this, self = shared_from_this(), generation](const error_code &error, std::size_t count) {
            if (generation != m_generation)
                return;
            if (error)
                onConnectionLost();
            else
                onBytes(count);
        });
}

void http_client::onBytes(std::size_t count)
{
    m_input.append(m_buffer.data(), count);
    m_input.erase(0, m_reader.consume(m_input));
    if (m_reader.isFaulty() || m_reader.bodyBytes() > maxBodyBytes) {
        close();
        finish(std::nullopt);
        return;
    }
    if (!m_reader.isComplete()) {
        read();
        return;
    }
    if (!m_reader.head().keepAlive || !m_input.empty())
        close();
    const response_head &head = m_reader.head();
    finish(http_result {.status = head.status, .fields = head.fields, .body = m_reader.takeBody()});
}

void http_client::onConnectionLost()
{
    const bool canRetry = m_isReused && m_call.method == "GET" && !m_reader.isHeadComplete();
    close();
    if (canRetry)
        connect();
    else
        finish(std::nullopt);
}

void http_client::finish(std::optional<http_result> result)
{
    ++m_generation;
    m_timer.cancel();
    const callback done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(result));
}

void http_client::stop()
{
    m_done = nullptr;
    ++m_generation;
    m_timer.cancel();
    close();
}

void http_client::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace quetzal
