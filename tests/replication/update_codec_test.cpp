#include "replication/replication.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>

using namespace quetzal;

namespace {

constexpr std::size_t maxBytes = 1000;

mirror_update sampleUpdate()
{
    return {.vm = "vm1",
            .prefix = 1,
            .after = 40,
            .revision = 50,
            .isDifference = false,
            .changes = {{.key = "a/1", .value = std::string("\x00\xff[", 3), .revision = 44},
                        {.key = "a/2", .value = std::nullopt, .revision = 45},
                        {.key = "a/3", .value = "", .revision = 45}}};
}

} // namespace

TEST_CASE("an update is encoded and decoded without loss", "[replication]")
{
    const mirror_update update = sampleUpdate();
    const auto datagrams = encodeUpdate(update, maxBytes);
    REQUIRE(datagrams.size() == 1);
    CHECK(decodeUpdate(datagrams[0]) == update);

    SECTION("truncated updates are rejected, at every length")
    {
        for (std::size_t length = 0; length < datagrams[0].size(); ++length)
            CHECK_FALSE(decodeUpdate(std::string_view(datagrams[0]).substr(0, length)));
    }

    SECTION("numbers out of range and members of another type are rejected")
    {
        const nlohmann::json document = nlohmann::json::from_msgpack(datagrams[0]);
        for (const std::string place :
             {"/0", "/1", "/2", "/3", "/4", "/5", "/6", "/6/0/0", "/6/0/1", "/6/0/2"}) {
            for (const nlohmann::json &odd :
                 {nlohmann::json(std::numeric_limits<std::int64_t>::max()), nlohmann::json(-1),
                  nlohmann::json(1e300), nlohmann::json(nullptr), nlohmann::json::array({1})}) {
                CAPTURE(place, odd);
                nlohmann::json changed = document;
                changed[nlohmann::json::json_pointer(place)] = odd;
                std::string bytes;
                nlohmann::json::to_msgpack(changed, bytes);
                CHECK_FALSE(decodeUpdate(bytes));
            }
        }
    }

    SECTION("deeply nested datagrams are rejected")
    {
        constexpr std::size_t levels = 4000000;
        CHECK_FALSE(decodeUpdate(std::string(levels, '\x91')));
        CHECK_FALSE(decodeUpdate("\x97\x10" + std::string(levels, '\x91')));
    }

    SECTION("other datagrams of the same port are no updates")
    {
        CHECK_FALSE(decodeUpdate("\x91\x02"));
        CHECK_FALSE(decodeUpdate(""));
    }
}

TEST_CASE("a long update is divided between datagrams", "[replication]")
{
    mirror_update update {.vm = "vm1", .after = 100, .revision = 250};
    constexpr int changes = 60;
    for (int number = 0; number < changes; ++number)
        update.changes.push_back({.key = "a/" + std::to_string(number),
                                  .value = std::string(100, 'x'),
                                  .revision = 101 + number / 2});

    SECTION("each continues the one before, and no revision is torn")
    {
        const auto datagrams = encodeUpdate(update, maxBytes);
        REQUIRE(datagrams.size() > 1);
        std::int64_t reached = update.after;
        std::vector<key_change> received;
        for (const std::string &bytes : datagrams) {
            CHECK(bytes.size() <= maxBytes);
            const auto part = decodeUpdate(bytes);
            REQUIRE(part);
            CHECK(part->after == reached);
            CHECK(part->revision > reached);
            reached = part->revision;
            received.insert(received.end(), part->changes.begin(), part->changes.end());
        }
        CHECK(reached == update.revision);
        CHECK(received == update.changes);
    }

    SECTION("changes that fit into none are announced only")
    {
        update.changes[10].value = std::string(5000, 'y');
        int announced = 0;
        for (const std::string &bytes : encodeUpdate(update, maxBytes)) {
            const auto part = decodeUpdate(bytes);
            REQUIRE(part);
            CHECK(bytes.size() <= maxBytes);
            announced += part->changes.empty() ? 1 : 0;
            if (part->changes.empty())
                CHECK(part->after == part->revision);
        }
        CHECK(announced == 1);
    }

    SECTION("a difference is announced as a whole, since its parts are no states")
    {
        update.isDifference = true;
        const auto datagrams = encodeUpdate(update, maxBytes);
        REQUIRE(datagrams.size() == 1);
        const auto announcement = decodeUpdate(datagrams[0]);
        REQUIRE(announcement);
        CHECK(announcement->changes.empty());
        CHECK(announcement->after == update.revision);
        CHECK_FALSE(announcement->isDifference);
    }
}
