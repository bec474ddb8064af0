#include "edge/edge_fixture.h"
#include "standins/platform/platform_store.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace quetzal;
using namespace quetzal::standins;

namespace {

constexpr int shortTimeoutMs = 300;
constexpr char emptyLine[] = "\r\n\r\n";

std::string head(const std::string &path, const std::string &engineAction)
{
    return "HEAD " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Attempt-Id: head"
        + "\r\nX-Test-Do: " + engineAction + emptyLine;
}

/** True for the head of an answer that nothing follows. */
bool isHeadOnly(const std::string &answer)
{
    return answer.find(emptyLine) + std::string(emptyLine).size() == answer.size();
}

} // namespace

TEST_CASE("no answer of a router reaches into the place of the next one", "[edge]")
{
    const auto keys = std::make_shared<platform_keys>();
    platform_store store(keys);
    store.start("127.9.7.100", 0);
    platform_engine engine("i-1", "127.9.7.11");
    keys->write("servers/i-1", engine.entry("s"));
    edge router("127.9.7.1", store.port());

    SECTION("a long request is not refused for its length before a configuration allows lengths")
    {
        const std::string answer = router.answerTo(
            "POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
    }

    keys->write("op/config", configuration(3, shortTimeoutMs));
    REQUIRE(eventually([&] { return router.isReady(); }));
    REQUIRE(eventually([&] {
        return router.answerTo(post("/safe/x", "warm", "answer")).starts_with("HTTP/1.1 200");
    }));

    SECTION("after HEAD without an answer of its target")
    {
        caller connection(router.address());
        connection.send(head("/safe/x", "slow"));
        const std::string failure = connection.readUntil(emptyLine);
        CHECK(failure.starts_with("HTTP/1.1 504"));
        CHECK(isHeadOnly(failure));
        connection.send(post("/safe/x", "next", "answer"));
        CHECK(connection.readAll().starts_with("HTTP/1.1 200"));
    }

    SECTION("after HEAD on a route whose answers are streams")
    {
        caller connection(router.address());
        connection.send(head("/stream/x", "answer"));
        CHECK(isHeadOnly(connection.readUntil(emptyLine)));
        connection.send(post("/safe/x", "next", "answer"));
        CHECK(connection.readAll().starts_with("HTTP/1.1 200"));
    }

    SECTION("after HEAD that no route matches")
    {
        caller connection(router.address());
        connection.send(head("/none/x", "answer"));
        const std::string refusal = connection.readAll();
        CHECK(refusal.starts_with("HTTP/1.1 404"));
        CHECK(isHeadOnly(refusal));
    }

    SECTION("after HEAD whose body is too long to be read")
    {
        const std::string refusal = router.answerTo(
            "HEAD /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
        CHECK(refusal.starts_with("HTTP/1.1 413"));
        CHECK(isHeadOnly(refusal));
    }

    router.stop();
    store.finish();
}
