#include "replication/follower_fixture.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace quetzal;

TEST_CASE("a router that was told of a change which it lacks", "[replication]")
{
    const std::string reader = vmOfRank(0);
    mirror_follower follower = followerOf(vmOfRank(3));
    follower.onListing({.items = {item("a/1", "x", 3)}, .revision = 9}, {}, now);
    follower.onUpdate(updateOf(reader, 15, 15), reader, now);
    REQUIRE(follower.missed());
    const absl::Time late = now + 2 * mirror_follower::maxUpdateLag;

    SECTION("is not told otherwise by a watch that began before")
    {
        follower.onChanges({.changes = {}, .revision = 9}, 9, late);
        CHECK(follower.missed());
        CHECK_FALSE(follower.isCurrent(late));
        CHECK(follower.next(late, true).kind == action::Copy);
    }

    SECTION("aborts such a watch, and leaves one that began later to its timeout")
    {
        CHECK_FALSE(follower.isWatchBehind(now, now));
        CHECK(follower.isWatchBehind(now, now + mirror_follower::maxWatchLag));
        CHECK_FALSE(follower.isWatchBehind(now + absl::Milliseconds(1), late));
    }

    SECTION("asks the sender, another router and the service by turns without end")
    {
        absl::Time time = now;
        const auto nextKind = [&] {
            time += absl::Seconds(1);
            return follower.next(time, true).kind;
        };
        CHECK(follower.next(late, true).host == reader);
        for (int round = 0; round < 5; ++round) {
            CAPTURE(round);
            CHECK(nextKind() == action::Copy);
            follower.onCopyFailed(time);
            CHECK(nextKind() == action::Copy);
            follower.onCopyFailed(time);
            CHECK(nextKind() == action::Watch);
            follower.onFailure(time);
        }
        CHECK(follower.missed());
    }

    SECTION("is current again once it has the change")
    {
        follower.onCopy({.items = {item("a/1", "z", 15)}, .revision = 15}, late);
        CHECK_FALSE(follower.missed());
        CHECK(follower.isCurrent(late));
    }
}

TEST_CASE("a key that changes while the listing is read", "[replication]")
{
    mirror_follower follower = followerOf(vmOfRank(0));
    follower.onListing({.items = {item("a/1", "x", 3)}, .hasMore = true, .revision = 9}, {}, now);
    const auto changes
        = follower.onListing({.items = {item("a/2", "new", 12)}, .revision = 12}, "a/1", now);

    SECTION("is in the replica, although its revision is above that of the listing")
    {
        REQUIRE(changes.size() == 2);
        CHECK(changes[1] == written("a/2", "new", 12));
        CHECK(follower.mirror().revision() == 9);
    }

    SECTION("is no change when the watch that follows delivers it again")
    {
        CHECK(follower.next(now, false).revision == 9);
        CHECK(follower.onChanges({.changes = {written("a/2", "new", 12)}, .revision = 12}, 9, now)
                  .empty());
        CHECK(follower.mirror().items().size() == 2);
    }
}
