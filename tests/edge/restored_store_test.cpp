#include "edge/edge_fixture.h"
#include "standins/platform/platform_store.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace quetzal;
using namespace quetzal::standins;

namespace {

std::string postWithKey(const std::string &key)
{
    return "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nConnection: "
           "close\r\nAuthorization: Bearer "
        + key + "\r\nContent-Length: 8\r\n\r\nquestion";
}

bool hasKey(platform_keys &keys, const std::string &key)
{
    const std::lock_guard lock(keys.mutex);
    return !keys.model.range({.key = key, .end = key + '\x01'}, absl::Now()).empty();
}

} // namespace

TEST_CASE("an edge process whose store comes back from an older copy", "[edge]")
{
    const auto keys = std::make_shared<platform_keys>();
    platform_store store(keys);
    store.start("127.9.7.100", 0);
    platform_engine engine("i-1", "127.9.7.21");
    keys->write("servers/i-1", engine.entry("s"));
    keys->write("op/config", configuration(3));
    const store_model copy = keys->model;
    edge router("127.9.7.22", store.port());
    const auto answers = [&](const std::string &key, const std::string &status) {
        return router.answerTo(postWithKey(key)).starts_with("HTTP/1.1 " + status);
    };
    REQUIRE(eventually([&] { return router.isReady() && answers("k", "200"); }));
    const std::string ownRecord = "quetzalreach/members/vm-127.9.7.22";
    REQUIRE(eventually([&] { return hasKey(*keys, ownRecord); }));
    std::string revoked = configuration(4);
    revoked.replace(revoked.find("\"k\""), 3, "\"n\"");
    keys->write("op/config", revoked);
    REQUIRE(eventually([&] { return answers("k", "401"); }));
    const auto restore = [&] {
        keys->restore(copy);
    };

    SECTION("writes its own record again, and what was revoked stays revoked")
    {
        restore();
        CHECK(eventually([&] { return hasKey(*keys, ownRecord); }));
        CHECK(answers("k", "401"));
        CHECK(answers("n", "200"));
    }

    SECTION("takes the next version, although its revision was given out before")
    {
        restore();
        std::string next = configuration(5);
        next.replace(next.find("\"k\""), 3, "\"m\"");
        keys->write("op/config", next);
        CHECK(eventually([&] { return answers("m", "200"); }));
        CHECK(answers("n", "401"));
    }
    SECTION("sends nothing to a target that was leaving, which the copy lists as ready")
    {
        keys->write("servers/i-1", engine.entry("s", "draining"));
        REQUIRE(eventually([&] { return answers("n", "503"); }));
        restore();
        REQUIRE(eventually([&] { return hasKey(*keys, ownRecord); }));
        CHECK(answers("n", "503"));
    }

    SECTION("sends nothing to an evacuated data centre while the operators may write it again")
    {
        keys->write("op/evacuate/north", "{}");
        REQUIRE(eventually([&] { return answers("n", "503"); }));
        restore();
        const auto restoredAt = std::chrono::steady_clock::now();
        REQUIRE(eventually([&] { return answers("n", "200"); }));
        // The store is read within 0.7 s, and the evacuation stays for three seconds after that.
        CHECK(std::chrono::steady_clock::now() - restoredAt > std::chrono::milliseconds(2900));
    }
    router.stop();
    store.finish();
}
