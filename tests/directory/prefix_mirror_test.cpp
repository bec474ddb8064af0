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

    SECTION("keys outside the prefix are ignored")
    {
        CHECK(mirror.applyChanges({written("b/1", "x", 20)}, 20).empty());
    }
}

TEST_CASE("a follower of an unreliable service", "[directory]")
{
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    mirror_follower follower("a/");
    CHECK(follower.next().kind == follower_step::action::List);

    SECTION("reads page by page, then watches from the first page's revision")
    {
        CHECK(follower
                  .onListing({.items = {{.key = "a/1", .value = "x", .revision = 1}},
                              .hasMore = true,
                              .revision = 5},
                             now)
                  .empty());
        CHECK(follower.next().afterKey == "a/1");
        const auto appliedChanges
            = follower.onListing({.items = {{.key = "a/2", .value = "y", .revision = 6}},
                                  .hasMore = false,
                                  .revision = 7},
                                 now);
        CHECK(appliedChanges.size() == 2);
        CHECK(follower.next().kind == follower_step::action::Watch);
        CHECK(follower.next().revision == 5);

        AND_THEN("it waits after a failure and continues at the same revision")
        {
            follower.onFailure(now);
            CHECK_FALSE(follower.isReachable());
            CHECK(follower.next().delay == mirror_follower::initialRetryDelay);
            CHECK(follower.next().revision == 5);
            for (int failure = 0; failure < 20; ++failure)
                follower.onFailure(now);
            CHECK(follower.next().delay == mirror_follower::maxRetryDelay);
            follower.onChanges({.changes = {}, .revision = 9}, now);
            CHECK(follower.isReachable());
            CHECK(follower.next().delay == absl::ZeroDuration());
        }

        AND_THEN("it waits after changes, so that a burst of changes takes one call")
        {
            follower.onChanges({.changes = {written("a/1", "z", 9)}, .revision = 9}, now);
            CHECK(follower.next().delay == mirror_follower::batchDelay);
            follower.onChanges({.changes = {}, .revision = 9}, now);
            CHECK(follower.next().delay == absl::ZeroDuration());
        }

        AND_THEN("it reads the listing again when the history is lost")
        {
            follower.onHistoryLost();
            CHECK(follower.next().kind == follower_step::action::List);
            CHECK(follower.next().afterKey.empty());
        }
    }

    SECTION("restarts the listing after a failure between pages")
    {
        follower.onListing({.items = {{.key = "a/1", .value = "x", .revision = 1}},
                            .hasMore = true,
                            .revision = 5},
                           now);
        follower.onFailure(now);
        CHECK(follower.next().afterKey.empty());
    }
}
