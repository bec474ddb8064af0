#include "edge/edge_fixture.h"
#include "standins/platform/platform_store.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace quetzal;
using namespace quetzal::standins;

namespace {

constexpr char fatalPrompt[] = "a1:100,fa7a1:30,0f:5";
constexpr char soundPrompt[] = "a1:100,b2:30,0e:5";

std::string requestWith(const std::string &prompt, const std::string &id,
                        const std::string &engineAction)
{
    return post("/stream/x", id, engineAction,
                "Connection: close\r\nX-Prefix-Hash: " + prompt + "\r\n");
}

} // namespace

TEST_CASE("requests with a prompt part under which engines end are rejected by all edge processes",
          "[edge]")
{
    const auto keys = std::make_shared<platform_keys>();
    platform_store store(keys);
    store.start("127.9.7.100", 0);
    std::vector<std::unique_ptr<platform_engine>> engines;
    for (int number = 1; number <= 5; ++number) {
        const std::string id = "i-" + std::to_string(number);
        engines.push_back(
            std::make_unique<platform_engine>(id, "127.9.7." + std::to_string(10 + number)));
        keys->write("servers/" + id, engines.back()->entry("s"));
    }
    keys->write("op/config", configuration(3));
    auto first = std::make_unique<edge>("127.9.7.1", store.port());
    auto second = std::make_unique<edge>("127.9.7.2", store.port());
    const auto engineOf = [&](const std::string &id) {
        for (std::size_t index = 0; index < engines.size(); ++index) {
            if (countRuns(*engines[index], id) > 0)
                return static_cast<int>(index) + 1;
        }
        return 0;
    };
    const auto isKnownToAll = [&] {
        return first->metricOf("routers") == 2 && second->metricOf("routers") == 2;
    };
    REQUIRE(eventually([&] { return first->isReady() && second->isReady() && isKnownToAll(); }));

    // The engine of each such request ends: it closes the connection, and its entry goes.
    for (int number = 1; number <= 3; ++number) {
        const std::string id = "f" + std::to_string(number);
        edge &router = number % 2 == 0 ? *second : *first;
        const std::string answer = router.answerTo(requestWith(fatalPrompt, id, "lose"));
        CHECK(answer.starts_with("HTTP/1.1 502"));
        const int engine = engineOf(id);
        REQUIRE(engine > 0);
        keys->remove("servers/i-" + std::to_string(engine));
        CHECK(router.answerTo(requestWith(soundPrompt, "s" + id, "events"))
                  .starts_with("HTTP/1.1 200"));
        std::this_thread::sleep_for(std::chrono::milliseconds(800));
    }
    REQUIRE(eventually([&] {
        return first->metricOf("held_prompt_parts") == 1
            && second->metricOf("held_prompt_parts") == 1;
    }));

    SECTION("at once and as not run, while others with the same first part are served")
    {
        for (const edge *router : {first.get(), second.get()}) {
            const std::string rejected = router->answerTo(requestWith(fatalPrompt, "late", "lose"));
            CHECK(rejected.starts_with("HTTP/1.1 503"));
            CHECK(rejected.find("\"code\":2011") != std::string::npos);
            CHECK(rejected.find("Retry-After: ") != std::string::npos);
            CHECK(router->answerTo(requestWith(soundPrompt, "served", "events"))
                      .starts_with("HTTP/1.1 200"));
        }
        CHECK(engineOf("late") == 0);
    }
    SECTION("also by one that was started again since")
    {
        second.reset();
        second = std::make_unique<edge>("127.9.7.2", store.port());
        REQUIRE(eventually([&] { return second->isReady(); }));
        REQUIRE(eventually([&] { return second->metricOf("held_prompt_parts") == 1; }));
        CHECK(second->answerTo(requestWith(fatalPrompt, "again", "lose"))
                  .starts_with("HTTP/1.1 503"));
        CHECK(engineOf("again") == 0);
    }
    SECTION("also after all of them ended at the same moment")
    {
        const auto hasRecord = [&] {
            const std::lock_guard lock(keys->mutex);
            return !keys->model.range({.key = "quetzalreach/parts/fa7a1"}, absl::Now()).empty();
        };
        REQUIRE(eventually(hasRecord));
        first.reset();
        second.reset();
        first = std::make_unique<edge>("127.9.7.1", store.port());
        second = std::make_unique<edge>("127.9.7.2", store.port());
        REQUIRE(eventually([&] { return first->isReady() && second->isReady(); }));
        for (const edge *router : {first.get(), second.get()})
            CHECK(router->answerTo(requestWith(fatalPrompt, "after", "lose"))
                      .starts_with("HTTP/1.1 503"));
        CHECK(engineOf("after") == 0);
    }
}
