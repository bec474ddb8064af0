#include "apps/edge/target_connection.h"
#include "standins/platform/platform_engine.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>

using namespace quetzal;
using namespace quetzal::standins;

namespace {

constexpr std::chrono::seconds testTimeout {10};

} // namespace

TEST_CASE("a connection to a target between two exchanges", "[edge]")
{
    platform_engine engine("i-1", "127.9.7.11");
    boost::asio::io_context loop;
    const auto connection = std::make_shared<target_connection>(
        loop, network_address {.host = "127.9.7.11", .port = engine.port()});
    int answers = 0;
    const auto ask = [&](const std::shared_ptr<const std::string> &body, bool isPausedAtEnd) {
        const std::string head = "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a"
                                 "\r\nContent-Length: "
            + std::to_string(body->size()) + "\r\n\r\n";
        connection->start(
            {.head = head, .body = body},
            {.onHead = [](const auto &) { return answer_disposition::Accept; },
             .onBody
             = [&, isPausedAtEnd](const std::string &) { connection->setPaused(isPausedAtEnd); },
             .onComplete = [&] { ++answers; },
             .onFailed =
                 [](const auto &) {
                 }});
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        const int before = answers;
        while (answers == before && std::chrono::steady_clock::now() < end)
            loop.run_one_for(std::chrono::milliseconds(10));
        return answers > before;
    };
    const auto body = std::make_shared<const std::string>("question");
    REQUIRE(ask(body, true));
    REQUIRE(connection->isReusable());

    SECTION("keeps nothing of the last request")
    {
        CHECK(body.use_count() == 1);
    }

    SECTION("reads again, although the caller of the last request was slow")
    {
        CHECK(ask(body, false));
        CHECK(connection->hasEarlierExchange());
    }
    connection->cancel();
}
