#include "replication/follower_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace quetzal;

TEST_CASE("an update that makes a listing needless while a page of it is read", "[replication]")
{
    const std::string reader = vmOfRank(0);
    mirror_follower follower = followerOf(vmOfRank(1));
    follower.onListing({.items = {item("a/1", "x", 3), item("a/2", "y", 4)}, .revision = 9}, {},
                       now);
    follower.onHistoryLost(now);
    follower.onListing({.items = {item("a/1", "x", 3)}, .hasMore = true, .revision = 10}, {}, now);
    const follower_step step = follower.next(now, true);
    REQUIRE(step.afterKey == "a/1");
    follower.onUpdate(updateOf(reader, 9, 12), reader, now);

    SECTION("leaves the keys of the earlier pages, when the last page arrives, as they are")
    {
        const auto changes = follower.onListing({.items = {item("a/2", "y", 4)}, .revision = 12},
                                                step.afterKey, now);
        CHECK(changes.empty());
        CHECK(follower.mirror().items().size() == 2);
        CHECK_FALSE(follower.takeUpdate());
    }
}

TEST_CASE("the router that reads for all", "[replication]")
{
    mirror_follower follower = followerOf(vmOfRank(0));
    follower.onListing({.items = {item("a/1", "x", 3)}, .revision = 9}, {}, now);
    REQUIRE(follower.next(now, true).kind == action::Watch);
    CHECK_FALSE(follower.takeUpdate());

    SECTION("sends the changes that it reads, once")
    {
        const std::vector<key_change> changes {written("a/2", "y", 11)};
        follower.onChanges({.changes = changes, .revision = 12}, 9, now);
        CHECK(follower.takeUpdate()
              == mirror_update {.vm = vmOfRank(0), .after = 9, .revision = 12, .changes = changes});
        CHECK_FALSE(follower.takeUpdate());

        AND_THEN("an update without changes reaches back to the last change")
        {
            follower.onChanges({.changes = {}, .revision = 20}, 12, now);
            const auto update = follower.takeUpdate();
            REQUIRE(update);
            CHECK(update->after == 11);
            CHECK(update->revision == 20);
        }
    }

    SECTION("sends the difference when the history was lost")
    {
        follower.onHistoryLost(now);
        follower.onListing({.items = {item("a/2", "y", 30)}, .revision = 40}, {}, now);
        const auto update = follower.takeUpdate();
        REQUIRE(update);
        CHECK(update->isDifference);
        CHECK(update->after == 9);
        CHECK(update->changes.size() == 2);
    }

    SECTION("calls a failing service again soon, and requests a copy in between")
    {
        follower.onFailure(now);
        CHECK(follower.next(now, true).kind == action::Copy);
        follower.onCopyFailed(now);
        CHECK(follower.next(now, true).kind == action::Watch);
        CHECK(follower.next(now, true).delay == mirror_follower::initialRetryDelay);
    }
}
