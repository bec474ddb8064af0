#include "directory/mirror/mirror_codec.h"
#include "platform/platform.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

using namespace quetzal;

namespace {

constexpr int routes = 10000;
constexpr int workspaces = 15000;

std::string largeConfiguration()
{
    nlohmann::json document {{"version", 9},
                             {"routes", nlohmann::json::array()},
                             {"services", {{{"name", "s"}, {"maxConnections", 60}}}},
                             {"limits", nlohmann::json::object()},
                             {"tenants", nlohmann::json::array()}};
    for (int number = 0; number < routes; ++number)
        document["routes"].push_back({{"name", "r" + std::to_string(number)},
                                      {"host", "h"},
                                      {"prefix", "/p" + std::to_string(number) + "/"},
                                      {"routeKind", "safe"},
                                      {"timeoutMs", 1000},
                                      {"service", "s"}});
    for (int number = 0; number < workspaces; ++number)
        document["tenants"].push_back(
            {{"name", "w" + std::to_string(number)}, {"apiKeys", {"k" + std::to_string(number)}}});
    return document.dump();
}

double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

} // namespace

TEST_CASE("a configuration of 10,000 routes and 15,000 workspaces", "[platform]")
{
    const std::string text = largeConfiguration();
    const std::string listing = nlohmann::json {
        {"items", {{{"key", "op/config"}, {"value", absl::Base64Escape(text)}, {"revision", 4}}}},
        {"hasMore", false},
        {"at", 4}}.dump();

    const auto start = std::chrono::steady_clock::now();
    const auto page = platform::readListing(listing, 0);
    REQUIRE(page.has_value());
    auto options = platform::readConfiguration(page->items.front().value);
    REQUIRE(options.has_value());
    const route_table table(std::move(*options));
    const double appliedMs = millisecondsSince(start);

    SECTION("is applied completely")
    {
        for (int number = 0; number < routes; number += 97) {
            const std::string prefix = "/p" + std::to_string(number) + "/";
            const route *rule = table.find("h", prefix + "x");
            REQUIRE(rule != nullptr);
            CHECK(rule->pathPrefix == prefix);
        }
        for (int number = 0; number < workspaces; number += 97) {
            const std::string *workspace = table.workspaceOf("k" + std::to_string(number));
            REQUIRE(workspace != nullptr);
            CHECK(*workspace == "w" + std::to_string(number));
        }
        CHECK(table.find("h", "/none/") == nullptr);
        constexpr int lookups = 1000;
        const auto lookupStart = std::chrono::steady_clock::now();
        for (int number = 0; number < lookups; ++number)
            CHECK(table.find("h", "/p" + std::to_string(routes - 1 - number) + "/") != nullptr);
        WARN("applied in " << appliedMs << " ms (" << text.size() << " bytes), a route found in "
                           << millisecondsSince(lookupStart) * 1000.0 / lookups << " us");
    }

    SECTION("is copied to another router unchanged")
    {
        const auto copy
            = decodeMirror(encodeMirror({.items = page->items, .revision = page->revision}));
        REQUIRE(copy.has_value());
        CHECK(copy->items.front().value == text);
    }
}
