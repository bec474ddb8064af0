#include "apps/edge/connection_rejecter.h"
#include "apps/edge/loop_turns.h"
#include "forwarding/forwarding.h"
#include "platform/request_dialect.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace quetzal;

namespace {

using boost::asio::ip::tcp;

/** A request with a body that nobody reads. */
std::string largeRequest()
{
    constexpr std::size_t bodyBytes = 60000;
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes)
        + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

} // namespace

TEST_CASE("a caller that is turned away unread gets a whole answer with a time to return", "[edge]")
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::make_address_v4("127.9.7.31"), 0});
    tcp::socket caller(loop);
    caller.connect(acceptor.local_endpoint());
    constexpr std::size_t maxOpen = 4;
    connection_rejecter rejecter(
        loop,
        {.answer = platform::rejectionText(forwarding_node::connectionRejection()),
         .maxOpen = maxOpen});

    SECTION("also if it sends a long body meanwhile")
    {
        tcp::socket accepted = acceptor.accept();
        const std::string request = largeRequest();
        boost::asio::write(caller, boost::asio::buffer(request));
        rejecter.reject(std::move(accepted));
        std::string answer;
        boost::system::error_code end;
        boost::asio::read(caller, boost::asio::dynamic_buffer(answer), end);
        CHECK(end == boost::asio::error::eof);
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        CHECK(answer.find("Retry-After: 0.10\r\n") != std::string::npos);
        CHECK(answer.find("Connection: close\r\n") != std::string::npos);
        CHECK(answer.find("Content-Length: 0\r\n") != std::string::npos);
        CHECK(answer.ends_with("\r\n\r\n"));

        AND_THEN("the connection is closed soon, and no timer stays")
        {
            const auto started = std::chrono::steady_clock::now();
            loop.run();
            CHECK(std::chrono::steady_clock::now() - started
                  >= absl::ToChronoNanoseconds(connection_rejecter::minLinger));
        }
    }

    SECTION("of many, a bounded number stays open")
    {
        std::vector<tcp::socket> callers;
        for (std::size_t number = 0; number < 5 * maxOpen; ++number) {
            callers.emplace_back(loop);
            callers.back().connect(acceptor.local_endpoint());
            rejecter.reject(acceptor.accept());
            CHECK(rejecter.openCount() <= maxOpen);
        }
        loop.run();
        CHECK(rejecter.openCount() == 0);
    }

    SECTION("and one that has left does no harm")
    {
        tcp::socket accepted = acceptor.accept();
        caller.set_option(boost::asio::socket_base::linger(true, 0));
        caller.close();
        rejecter.reject(std::move(accepted));
        loop.run();
        CHECK(loop.stopped());
    }
}

TEST_CASE("a turn of the event loop ends when what was ready at its first work has run", "[edge]")
{
    boost::asio::io_context loop;
    int ended = 0;
    loop_turns turns(loop, [&] { ++ended; });
    int endedBeforeSecond = -1;
    boost::asio::post(loop, [&] { turns.onWork(); });
    boost::asio::post(loop, [&] {
        turns.onWork();
        endedBeforeSecond = ended;
    });
    loop.run();
    CHECK(endedBeforeSecond == 0);
    CHECK(ended == 1);

    SECTION("later work begins another turn")
    {
        loop.restart();
        boost::asio::post(loop, [&] { turns.onWork(); });
        loop.run();
        CHECK(ended == 2);
    }
}
