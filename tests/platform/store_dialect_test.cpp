#include "platform/platform.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("a store that was restored from an older copy", "[platform]")
{
    constexpr std::int64_t era = 3;
    const auto page = platform::readListing(
        R"({"items":[{"key":"a/1","value":"bm9kZS0x","revision":4}],"hasMore":false,"at":9})", era);
    const auto earlier = platform::readListing(R"({"items":[],"hasMore":false,"at":70})", era - 1);
    REQUIRE(page.has_value());
    REQUIRE(earlier.has_value());

    SECTION("answers with revisions above all that it gave before")
    {
        CHECK(page->revision > earlier->revision);
        CHECK(page->items[0].revision > earlier->revision);
        CHECK(page->items[0].revision < page->revision);
    }

    SECTION("is called with the revisions that it knows itself")
    {
        CHECK(platform::watchCall("op/", page->revision, absl::Seconds(2)).target
              == "/api/kv-watch?prefix=op/&after=9&waitMs=2000");
        CHECK(platform::removeCall("a/1", page->items[0].revision).body
              == platform::removeCall("a/1", 4).body);
    }

    SECTION("names its era in a header, without which there was none")
    {
        const auto eraIn = [](const std::string &value) {
            header_fields fields;
            fields.add("store-era", value);
            return platform::readEra(fields);
        };
        CHECK(platform::readEra({}) == 0);
        CHECK(eraIn("12") == 12);
        for (const char *wrong : {"", "x", "-1", "1.5", "8192", "99999999999999999999"})
            CHECK_FALSE(eraIn(wrong).has_value());
    }
}

TEST_CASE("calls to the store and their answers", "[platform]")
{
    const auto page = platform::readListing(
        R"({"items":[{"key":"a/1","value":"bm9kZS0x","revision":4,"created":4,"lease":0}],"hasMore":true,"at":9})",
        0);
    REQUIRE(page.has_value());
    CHECK(page->items[0].value == "node-1");
    CHECK(page->hasMore);
    const auto changes = platform::readChanges(
        R"({"events":[{"key":"a/1","value":"bm9kZS0x","revision":5},{"key":"a/2","revision":6,"deleted":true}],"at":6})",
        0);
    REQUIRE(changes.has_value());
    CHECK(changes->changes[0].value == "node-1");
    CHECK_FALSE(changes->changes[1].value.has_value());
    CHECK_FALSE(platform::readListing("{}", 0).has_value());
    CHECK_FALSE(platform::readChanges("nonsense", 0).has_value());
    CHECK(platform::watchCall("op/", 7, absl::Seconds(2)).target
          == "/api/kv-watch?prefix=op/&after=7&waitMs=2000");
    CHECK(platform::listCall("a b/", "k").target == "/api/kv-range?prefix=a%20b/&after=k");

    SECTION("a row that can't be read hides none of the others")
    {
        const std::string good = R"({"key":"a/9","value":"bm9kZS0x","revision":4})";
        for (const char *odd :
             {R"({"key":"a/1","value":null,"revision":4})", R"({"key":"a/1","revision":4})",
              R"({"key":"a/1","value":[[[]]],"revision":4})",
              R"({"key":"a/1","value":"no base64!","revision":4})",
              R"({"key":"a/1","value":"bm9kZS0x","revision":1e300})",
              R"({"key":"a/1","value":"bm9kZS0x","revision":18446744073709551615})",
              R"({"key":"a/1","value":"bm9kZS0x","revision":"4"})", R"({"key":"a/1"})"}) {
            CAPTURE(odd);
            const std::string rows = "[" + std::string(odd) + "," + good + "]";
            const auto listed
                = platform::readListing(R"({"items":)" + rows + R"(,"hasMore":false,"at":9})", 0);
            REQUIRE(listed.has_value());
            REQUIRE(listed->items.size() == 2);
            CHECK(listed->items[0].key == "a/1");
            CHECK(listed->items[0].revision <= 9);
            CHECK_FALSE(platform::readTarget("servers/i-1", listed->items[0].value).has_value());
            CHECK(listed->items[1].value == "node-1");
            const auto changed = platform::readChanges(R"({"events":)" + rows + R"(,"at":9})", 0);
            REQUIRE(changed.has_value());
            REQUIRE(changed->changes.size() == 2);
            CHECK(changed->changes[0].value.has_value());
            CHECK(changed->changes[0].revision <= 9);
            CHECK(changed->changes[1].value == "node-1");
        }
        for (const char *odd : {"null", "7", "[]", "{}", R"({"key":7,"value":"","revision":4})"}) {
            CAPTURE(odd);
            const std::string rows = "[" + std::string(odd) + "," + good + "]";
            const auto listed
                = platform::readListing(R"({"items":)" + rows + R"(,"hasMore":false,"at":9})", 0);
            REQUIRE(listed.has_value());
            CHECK(listed->items.size() == 1);
            const auto changed = platform::readChanges(R"({"events":)" + rows + R"(,"at":9})", 0);
            REQUIRE(changed.has_value());
            CHECK(changed->changes.size() == 1);
        }
    }
    SECTION("an answer without rows or with a revision out of range is rejected")
    {
        for (const char *at : {"1e300", "-1", "9223372036854775808", "\"9\"", "null"}) {
            CAPTURE(at);
            CHECK_FALSE(platform::readListing(
                R"({"items":[],"hasMore":false,"at":)" + std::string(at) + "}", 0));
            CHECK_FALSE(platform::readChanges(R"({"events":[],"at":)" + std::string(at) + "}", 0));
        }
        CHECK_FALSE(platform::readListing(R"({"items":7,"hasMore":false,"at":9})", 0));
        CHECK_FALSE(platform::readChanges(R"({"events":"x","at":9})", 0));
        CHECK_FALSE(platform::readListing(std::string(4000000, '['), 0).has_value());
        CHECK_FALSE(platform::readChanges(std::string(4000000, '['), 0).has_value());
    }
    SECTION("a page of odd values leaves the rest of the listing readable")
    {
        std::string rows;
        for (int number = 0; number < 500; ++number)
            rows += R"({"key":"a/)" + std::to_string(number)
                + R"(","value":"W1tbW1tbW1tb","revision":4},)";
        const auto listed = platform::readListing(
            R"({"items":[)" + rows.substr(0, rows.size() - 1) + R"(],"hasMore":true,"at":9})", 0);
        REQUIRE(listed.has_value());
        CHECK(listed->items.size() == 500);
    }
}
