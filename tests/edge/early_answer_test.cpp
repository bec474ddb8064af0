#include "apps/edge/target_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>

using namespace quetzal;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds testTimeout {10};
/** Far above what the kernel holds for a connection whose other side does not read. */
constexpr std::size_t uploadBytes = std::size_t {32} * 1024 * 1024;

/** How one exchange with a target ended. */
struct exchange_outcome
{
    bool isComplete = false;
    bool isFailed = false;
    std::string body;
};

} // namespace

TEST_CASE("a target answers before it has read a long upload", "[edge]")
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::make_address_v4("127.9.7.31"), 0});
    const auto connection = std::make_shared<target_connection>(
        loop, network_address {.host = "127.9.7.31", .port = acceptor.local_endpoint().port()});
    exchange_outcome outcome;
    const auto body = std::make_shared<const std::string>(uploadBytes, 'x');
    connection->start({.head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "
                           + std::to_string(body->size()) + "\r\n\r\n",
                       .body = body},
                      {.onHead = [](const auto &) { return answer_disposition::Accept; },
                       .onBody = [&](const std::string &part) { outcome.body += part; },
                       .onComplete = [&] { outcome.isComplete = true; },
                       .onFailed =
                           [&](const auto &) {
                               outcome.isFailed = true;
                           }});
    tcp::socket target(loop);
    acceptor.async_accept(target, [](const auto &) {});
    const auto runUntil = [&](const auto &condition) {
        const auto limit = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            loop.run_one_for(std::chrono::milliseconds(10));
        return condition();
    };
    REQUIRE(runUntil([&] { return target.is_open(); }));

    SECTION("with a part of a body without length, and resets the connection: that part is not "
            "the answer")
    {
        boost::asio::write(target, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
        REQUIRE(runUntil([&] { return outcome.body == "part"; }));
        target.set_option(boost::asio::socket_base::linger(true, 0));
        target.close();
        REQUIRE(runUntil([&] { return outcome.isComplete || outcome.isFailed; }));
        CHECK(outcome.isFailed);
    }

    SECTION("with a whole body of known length: that is the answer")
    {
        boost::asio::write(
            target,
            boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")));
        REQUIRE(runUntil([&] { return outcome.isComplete || outcome.isFailed; }));
        CHECK(outcome.isComplete);
        CHECK(outcome.body == "whole");
    }
    connection->cancel();
}
