#include "apps/edge/http_client.h"

#include <absl/time/clock.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace quetzal;

namespace {

using boost::asio::ip::tcp;

/** Answers one connection with a head and then the same bytes, until the client closes it. */
class endless_server
{
public:
    endless_server(std::string begin, std::string repeated)
        : m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::make_address_v4("127.9.7.90"), 0))
        , m_thread([this, begin = std::move(begin), repeated = std::move(repeated)] {
            tcp::socket socket(m_loop);
            m_acceptor.accept(socket);
            boost::system::error_code error;
            boost::asio::write(socket, boost::asio::buffer(begin), error);
            while (!error)
                m_sentBytes += boost::asio::write(socket, boost::asio::buffer(repeated), error);
        })
    {
    }
    ~endless_server()
    {
        if (m_thread.joinable())
            m_thread.join();
    }
    network_address address() const
    {
        return {.host = "127.9.7.90", .port = m_acceptor.local_endpoint().port()};
    }
    /** Waits until the client has closed the connection; returns the number of bytes sent. */
    std::size_t join()
    {
        m_thread.join();
        return m_sentBytes;
    }

private:
    boost::asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::size_t m_sentBytes = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("an answer of the store, or of another router, whose status is none fails", "[edge]")
{
    const std::string status = GENERATE("000", "099", "600", "999");
    CAPTURE(status);
    endless_server server("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}", " ");
    boost::asio::io_context loop;
    const auto client = std::make_shared<http_client>(loop, server.address());
    bool isFailed = false;
    client->call({.target = "/x", .timeout = absl::Seconds(20)},
                 [&](const std::optional<http_result> &result) { isFailed = !result; });
    const absl::Time startedAt = absl::Now();
    loop.run();
    CHECK(isFailed);
    CHECK(absl::Now() - startedAt < absl::Seconds(15));
}

TEST_CASE("an answer of the store, or of another router, that never ends is given up", "[edge]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(65536, 'x');
    const auto [begin, repeated] = GENERATE_COPY(table<std::string, std::string>(
        {{"HTTP/1.1 200 OK\r\n\r\n", filler},
         {chunked, "10000\r\n" + filler + "\r\n"},
         {chunked + "5;", filler},
         {"HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(64, 'x') + "\r\n"}}));
    endless_server server(begin, repeated);
    boost::asio::io_context loop;
    const auto client = std::make_shared<http_client>(loop, server.address());
    bool isFailed = false;
    client->call({.target = "/x", .timeout = absl::Seconds(20)},
                 [&](const std::optional<http_result> &result) { isFailed = !result; });
    const absl::Time startedAt = absl::Now();
    loop.run();
    CHECK(isFailed);
    CHECK(absl::Now() - startedAt < absl::Seconds(15));
    constexpr std::size_t maxSentBytes = 40000000;
    CHECK(server.join() < maxSentBytes);
}
