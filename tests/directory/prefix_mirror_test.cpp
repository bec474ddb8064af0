#include "directory/directory.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;

namespace {

key_change written(const std::string &key, const std::string &value, std::int64_t revision)
{
    return {.key = key, .value = value, .revision = revision};
}

key_change removed(const std::string &key, std::int64_t revision)
{
    return {.key = key, .value = std::nullopt, .revision = revision};
}

} // namespace

TEST_CASE("a mirror replicates a prefix", "[directory]")
{
    prefix_mirror mirror("a/");
    CHECK_FALSE(mirror.isComplete());
    mirror.applyListing(
        {{.key = "a/1", .value = "x", .revision = 3}, {.key = "a/2", .value = "y", .revision = 4}},
        5);
    CHECK(mirror.isComplete());
    CHECK(mirror.items().size() == 2);

    SECTION("a newer value replaces an older one, but never the reverse")
    {
        CHECK(mirror.applyChanges({written("a/1", "new", 7)}, 7).size() == 1);
        CHECK(mirror.applyChanges({written("a/1", "old", 6)}, 7).empty());
        CHECK(mirror.items().front().value == "new");
        CHECK(mirror.revision() == 7);
    }

    SECTION("a late message does not restore a removed key")
    {
        CHECK(mirror.applyChanges({removed("a/1", 8)}, 8).size() == 1);
        CHECK(mirror.applyChanges({written("a/1", "late", 7)}, 8).empty());
        CHECK(mirror.items().size() == 1);

        AND_THEN("a later write restores it")
        {
            CHECK(mirror.applyChanges({written("a/1", "again", 9)}, 9).size() == 1);
        }
    }

    SECTION("a stale listing neither removes nor restores keys")
    {
        mirror.applyChanges({removed("a/1", 8), written("a/3", "z", 9)}, 9);
        const auto appliedChanges
            = mirror.applyListing({{.key = "a/1", .value = "x", .revision = 3},
                                   {.key = "a/2", .value = "y", .revision = 4}},
                                  6);
        CHECK(appliedChanges.empty());
        CHECK(mirror.items().size() == 2);
        CHECK(mirror.revision() == 9);
    }

    SECTION("a fresh listing after a loss of history reports removed and added keys")
    {
        const auto appliedChanges
            = mirror.applyListing({{.key = "a/2", .value = "y", .revision = 4},
                                   {.key = "a/4", .value = "w", .revision = 11}},
                                  12);
        REQUIRE(appliedChanges.size() == 2);
        CHECK(mirror.items().front().key == "a/2");
        CHECK(mirror.items().back().key == "a/4");

        AND_THEN("a write right after the listing is reported")
        {
            CHECK(mirror.applyChanges({written("a/1", "back", 13)}, 13).size() == 1);
        }
    }

    SECTION("the last change revision covers only changes below the prefix")
    {
        CHECK(mirror.lastChangeRevision() == 4);
        mirror.applyChanges({removed("a/1", 8)}, 30);
        CHECK(mirror.lastChangeRevision() == 8);
        CHECK(mirror.revision() == 30);
    }

    SECTION("the revision since which nothing changed")
    {
        CHECK(mirror.unchangedSince() == 5);
        mirror.applyChanges({}, 30);
        CHECK(mirror.unchangedSince() == 5);
        mirror.applyChanges({written("a/1", "new", 31)}, 32);
        CHECK(mirror.unchangedSince() == 31);

        AND_THEN("a listing may hide that keys came and went")
        {
            mirror.applyListing(mirror.items(), 40);
            CHECK(mirror.lastChangeRevision() == 31);
            CHECK(mirror.unchangedSince() == 40);
            mirror.applyListing(mirror.items(), 50, 45);
            CHECK(mirror.unchangedSince() == 45);
        }
    }

    SECTION("removed keys are not remembered for ever, and do not come back all the same")
    {
        constexpr int count = 1000;
        for (int number = 0; number < count; ++number) {
            const std::int64_t revision = 10 + 2 * number;
            const std::string key = "a/gone-" + std::to_string(number);
            mirror.applyChanges({written(key, "x", revision)}, revision);
            mirror.applyChanges({removed(key, revision + 1)}, revision + 1);
        }
        CHECK(mirror.rememberedRemovals() == 0);
        CHECK(mirror.applyChanges({written("a/gone-7", "x", 24)}, 24).empty());
        CHECK(mirror.applyListing({{.key = "a/gone-7", .value = "x", .revision = 24}}, 24).empty());
        CHECK(mirror.items().size() == 2);
    }

    SECTION("keys outside the prefix are ignored")
    {
        CHECK(mirror.applyChanges({written("b/1", "x", 20)}, 20).empty());
        mirror.applyListing({{.key = "b/2", .value = "x", .revision = 21}}, 21);
        CHECK(mirror.items().empty());
    }
}
