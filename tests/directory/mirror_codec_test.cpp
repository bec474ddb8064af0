#include "directory/directory.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>

using namespace quetzal;

TEST_CASE("a copy of a mirror is encoded and decoded without loss", "[directory]")
{
    const mirror_copy page {
        .items = {{.key = "a/1", .value = std::string("\x00\xff[[[", 5), .revision = 3},
                  {.key = "a/2", .value = "", .revision = 4}},
        .revision = 5,
        .unchangedSince = 4,
        .age = absl::Milliseconds(700)};
    const std::string bytes = encodeMirror(page);
    CHECK(decodeMirror(bytes) == page);

    SECTION("truncated copies are rejected, at every length")
    {
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodeMirror(std::string_view(bytes).substr(0, length)).has_value());
    }

    SECTION("copies with a revision out of range are rejected")
    {
        for (const std::int64_t revision :
             {std::numeric_limits<std::int64_t>::max(), std::int64_t {-1}}) {
            mirror_copy odd = page;
            odd.revision = revision;
            CHECK_FALSE(decodeMirror(encodeMirror(odd)).has_value());
            odd = page;
            odd.items[0].revision = revision;
            CHECK_FALSE(decodeMirror(encodeMirror(odd)).has_value());
            odd = page;
            odd.unchangedSince = revision;
            CHECK_FALSE(decodeMirror(encodeMirror(odd)).has_value());
        }
    }

    SECTION("the copy of a router of an earlier version does not tell how old it is")
    {
        nlohmann::json document = nlohmann::json::from_msgpack(bytes);
        document.erase(3);
        document.erase(2);
        std::string earlier;
        nlohmann::json::to_msgpack(document, earlier);
        const auto copy = decodeMirror(earlier);
        REQUIRE(copy);
        CHECK(copy->items == page.items);
        CHECK(copy->unchangedSince == copy->revision);
        CHECK(copy->age > absl::Hours(1));
    }

    SECTION("deeply nested copies are rejected")
    {
        constexpr std::size_t levels = 4000000;
        CHECK_FALSE(decodeMirror(std::string(levels, '\x91')).has_value());
        std::string maps;
        while (maps.size() < levels)
            maps += "\x81\xa1k";
        CHECK_FALSE(decodeMirror(maps).has_value());
        CHECK_FALSE(decodeMirror("\x92\x05" + std::string(levels, '\x91')).has_value());
    }
}
