#include "replication/follower_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace quetzal;

TEST_CASE("a follower of an unreliable service", "[replication]")
{
    mirror_follower follower({.prefix = "a/", .self = "vm", .startedAt = start});
    CHECK(follower.next(now, false).kind == action::List);

    SECTION("reads page by page, then watches from the first page's revision")
    {
        CHECK(follower
                  .onListing({.items = {item("a/1", "x", 1)}, .hasMore = true, .revision = 5}, {},
                             now)
                  .empty());
        CHECK(follower.next(now, false).afterKey == "a/1");
        const auto appliedChanges = follower.onListing(
            {.items = {item("a/2", "y", 6)}, .hasMore = false, .revision = 7}, "a/1", now);
        CHECK(appliedChanges.size() == 2);
        CHECK(follower.next(now, false).kind == action::Watch);
        CHECK(follower.next(now, false).revision == 5);
        CHECK(follower.isCurrent(now));

        AND_THEN("it waits after a failure and continues at the same revision")
        {
            follower.onFailure(now);
            CHECK(follower.next(now, false).delay == mirror_follower::initialRetryDelay);
            CHECK(follower.next(now, false).revision == 5);
            for (int failure = 0; failure < 20; ++failure)
                follower.onFailure(now);
            CHECK(follower.next(now, false).delay == mirror_follower::maxRetryDelay);
            CHECK_FALSE(follower.isCurrent(now + absl::Seconds(3)));
            follower.onChanges({.changes = {}, .revision = 9}, 5, now + absl::Seconds(3));
            CHECK(follower.isCurrent(now + absl::Seconds(3)));
            CHECK(follower.next(now + absl::Seconds(3), false).delay == absl::ZeroDuration());
        }

        AND_THEN("it waits after changes, so that a burst of changes takes one call")
        {
            follower.onChanges({.changes = {written("a/1", "z", 9)}, .revision = 9}, 5, now);
            CHECK(follower.next(now, false).delay == mirror_follower::batchDelay);
            follower.onChanges({.changes = {}, .revision = 9}, 9, now);
            CHECK(follower.next(now, false).delay == absl::ZeroDuration());
        }

        AND_THEN("it reads the listing again when the history is lost")
        {
            follower.onHistoryLost(now);
            CHECK(follower.next(now, false).kind == action::List);
            CHECK(follower.next(now, false).afterKey.empty());
        }

        AND_THEN("a watch after a silence tells soon whether the service answers again")
        {
            follower.onChanges({.changes = {}, .revision = 5}, 5, now);
            CHECK(follower.next(now, false).wait == mirror_follower::watchTimeout);
            CHECK(follower.next(now + absl::Seconds(2), false).wait
                  == mirror_follower::shortWatchTimeout);
        }
    }

    SECTION("continues the listing after a failure between pages, and misses no change meanwhile")
    {
        follower.onListing(
            {.items = {item("a/1", "x", 1), item("a/2", "y", 2)}, .hasMore = true, .revision = 5},
            {}, now);
        follower.onFailure(now);
        const follower_step next = follower.next(now, false);
        CHECK(next.kind == action::List);
        CHECK(next.afterKey == "a/2");
        CHECK(next.delay == mirror_follower::initialRetryDelay);
        follower.onListing({.items = {item("a/3", "z", 3)}, .hasMore = false, .revision = 90},
                           "a/2", now);
        CHECK(follower.mirror().items().size() == 3);
        CHECK(follower.next(now, false).revision == 5);
        follower.onChanges(
            {.changes = {{.key = "a/1", .value = std::nullopt, .revision = 8}}, .revision = 90}, 5,
            now);
        CHECK(follower.mirror().items().front().key == "a/2");
    }
}

TEST_CASE("a router that starts among others", "[replication]")
{
    mirror_follower follower = followerOf(vmOfRank(3));

    SECTION("waits a moment to hear another one before it lists the keys itself")
    {
        CHECK(follower.next(start, false).kind == action::Idle);
        CHECK(follower.next(start + absl::Milliseconds(100), false).kind == action::List);

        AND_THEN("no two of them list at the same time")
        {
            const auto delayOf = [](const std::string &vm) {
                return followerOf(vm).next(start, false).delay;
            };
            for (std::size_t rank = 1; rank < fleet.size(); ++rank)
                CHECK(delayOf(vmOfRank(rank)) > delayOf(vmOfRank(rank - 1)));
        }

        AND_THEN("it also waits while it does not know the others")
        {
            const mirror_follower unknown({.prefix = "a/", .self = "vm-1", .startedAt = start});
            CHECK(unknown.next(start, false).delay > absl::Milliseconds(30));
            CHECK(unknown.next(start + absl::Milliseconds(330), false).kind == action::List);
        }
    }

    SECTION("requests another router's copy as soon as it hears one")
    {
        const follower_step step = follower.next(start, true);
        CHECK(step.kind == action::Copy);
        CHECK(step.delay == absl::ZeroDuration());

        AND_WHEN("that one has none, it does not wait longer")
        {
            follower.onCopyFailed(start);
            CHECK(follower.next(start, true).delay < mirror_follower::copyInterval);
            CHECK(follower.next(start + absl::Milliseconds(100), true).kind == action::List);
        }

        AND_WHEN("an update tells of one that has a replica, it asks that one, for longer")
        {
            follower.onUpdate(updateOf(vmOfRank(2), 3, 9), "host", start);
            CHECK(follower.next(start, true).host == "host");
            follower.onCopyFailed(start);
            const absl::Time later = start + absl::Milliseconds(500);
            CHECK(follower.next(later, true).kind == action::Copy);
            CHECK(follower.next(later, true).host.empty());
            CHECK(follower.next(start + absl::Seconds(1), true).kind == action::List);
        }

        AND_WHEN("the copy is recent, it needs no call to the service")
        {
            const mirror_copy copy {.items = {item("a/1", "x", 3)},
                                    .revision = 9,
                                    .unchangedSince = 3,
                                    .age = absl::Milliseconds(200)};
            CHECK(follower.onCopy(copy, start).size() == 1);
            CHECK(follower.isCurrent(start));
            CHECK(follower.next(start, true).kind == action::Idle);
            CHECK(follower.confirmedAt() == start - copy.age);
        }

        AND_WHEN("the copy is of a router that was cut off, with a key that is withdrawn by now")
        {
            const mirror_copy old {.items = {item("a/withdrawn", "x", 3)},
                                   .revision = 9,
                                   .unchangedSince = 3,
                                   .age = absl::Seconds(60)};
            CHECK(follower.onCopy(old, start).empty());
            CHECK_FALSE(follower.mirror().isComplete());
            const mirror_copy recent {.items = {item("a/1", "x", 12)},
                                      .revision = 20,
                                      .unchangedSince = 14,
                                      .age = absl::Milliseconds(100)};
            follower.onCopy(recent, start);
            CHECK(follower.onCopy(old, start + absl::Seconds(9)).empty());
            CHECK(follower.mirror().items() == recent.items);
        }

        AND_WHEN("there is nothing better, the newest of the old copies is used after a while, but "
                 "not taken as current")
        {
            const mirror_copy old {.items = {item("a/1", "x", 3)},
                                   .revision = 9,
                                   .unchangedSince = 3,
                                   .age = absl::Seconds(60)};
            mirror_copy older = old;
            older.revision = 7;
            CHECK(follower.onCopy(old, start).empty());
            CHECK(follower.onCopy(older, start).empty());
            CHECK(follower.applyOldCopy(start + absl::Milliseconds(100)).empty());
            const absl::Time later = start + absl::Seconds(1);
            CHECK(follower.applyOldCopy(later).size() == 1);
            CHECK(follower.mirror().revision() == 9);
            CHECK(follower.confirmedAt() == start - old.age);
            CHECK_FALSE(follower.isCurrent(later));
            CHECK(follower.next(later, true).kind == action::Watch);
        }
    }
}

TEST_CASE("a router that relies on the updates of another one", "[replication]")
{
    const std::string reader = vmOfRank(0);
    const std::string next = vmOfRank(1);
    const std::size_t rank = GENERATE(1U, 2U, 5U);
    mirror_follower follower = followerOf(vmOfRank(rank));
    follower.onCopy({.items = {item("a/1", "x", 3)}, .revision = 9, .unchangedSince = 3}, now);
    REQUIRE(follower.next(now, true).kind == action::Idle);

    SECTION("stays current without a call while updates come")
    {
        absl::Time time = now;
        for (int update = 0; update < 100; ++update) {
            time += mirror_follower::watchTimeout;
            follower.onUpdate(updateOf(reader, 3, 10 + update), reader, time);
            CHECK(follower.next(time, true).kind == action::Idle);
            CHECK(follower.isCurrent(time));
        }
        CHECK(follower.mirror().revision() == 109);
    }

    SECTION("applies changes from updates, once")
    {
        const auto update = updateOf(reader, 3, 12, {written("a/2", "y", 11)});
        CHECK(follower.onUpdate(update, reader, now).size() == 1);
        CHECK(follower.onUpdate(update, reader, now).empty());
        CHECK(follower.onUpdate(updateOf(reader, 3, 9), reader, now).empty());
        CHECK(follower.mirror().revision() == 12);
    }

    SECTION("reads itself when the updates stop")
    {
        const absl::Time silent = now + absl::Seconds(2);
        CHECK(follower.isReader(silent));
        CHECK(follower.next(silent, true).kind == action::Watch);

        AND_WHEN("a router that precedes it is heard, it stops reading")
        {
            follower.onUpdate(updateOf(reader, 3, 12), reader, silent);
            CHECK(follower.next(silent, true).kind == action::Idle);
        }

        AND_WHEN("only one that it precedes is heard, it keeps reading")
        {
            const std::string later = vmOfRank(5);
            follower.onUpdate(updateOf(later, 3, 12), later, silent);
            CHECK(follower.isReader(silent));
        }
    }

    SECTION("sees a gap when an update is missed")
    {
        follower.onUpdate(updateOf(reader, 15, 20), reader, now);
        CHECK(follower.mirror().revision() == 9);
        const absl::Time later = now + absl::Milliseconds(200);
        const follower_step step = follower.next(later, true);
        CHECK(step.kind == action::Copy);
        CHECK(step.host == reader);
        CHECK(step.delay == absl::ZeroDuration());

        AND_WHEN("a copy fills the gap, it is idle again")
        {
            follower.onCopy({.items = {item("a/1", "z", 15)}, .revision = 20, .unchangedSince = 15},
                            later);
            CHECK(follower.next(later, true).kind == action::Idle);
        }

        AND_WHEN("copies don't help, it asks the service")
        {
            follower.onCopyFailed(later);
            CHECK(follower.next(later, true).host.empty());
            follower.onCopyFailed(later);
            CHECK(follower.next(later, true).kind == action::Watch);
            follower.onChanges({.changes = {written("a/1", "z", 15)}, .revision = 20}, 9, later);
            CHECK(follower.next(later, true).kind == action::Idle);
            CHECK_FALSE(follower.takeUpdate());
        }

        AND_WHEN("the service does not know the change either, it believes the service")
        {
            follower.onCopyFailed(later);
            follower.onCopyFailed(later);
            follower.onChanges({.changes = {}, .revision = 12}, 9, later);
            CHECK(follower.next(later, true).kind == action::Idle);
        }
    }

    SECTION("an update that no router sent is corrected by the service")
    {
        const std::int64_t spoiled = GENERATE(std::int64_t {1000000}, revisionInEra(7, 5));
        const bool isWatchAnswered = GENERATE(true, false);
        CAPTURE(spoiled, isWatchAnswered);
        follower.onUpdate(updateOf("odd", 3, spoiled, {written("a/odd", "x", spoiled - 1)}), "odd",
                          now);
        CHECK(follower.mirror().items().size() == 2);
        absl::Time time = now;
        while (time < now + absl::Seconds(3) && follower.next(time, true).kind == action::Idle) {
            time += absl::Milliseconds(100);
            follower.onUpdate(updateOf(reader, 3, 12), reader, time);
        }
        const follower_step step = follower.next(time, true);
        REQUIRE(step.kind == action::Watch);
        if (isWatchAnswered)
            CHECK(follower.onChanges({.changes = {}, .revision = 14}, step.revision, time).empty());
        else
            follower.onHistoryLost(time);
        REQUIRE(follower.next(time, true).kind == action::List);
        const auto changes
            = follower.onListing({.items = {item("a/1", "x", 3)}, .revision = 15}, {}, time);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].key == "a/odd");
        CHECK_FALSE(changes[0].value);
        CHECK(follower.mirror().revision() == 15);
        follower.onUpdate(updateOf(reader, 3, 16, {written("a/2", "y", 16)}), reader, time);
        CHECK(follower.mirror().items().size() == 2);
        CHECK(follower.next(time, true).kind == action::Idle);
    }

    SECTION("answers of an earlier era that come late change nothing")
    {
        const std::int64_t restored = revisionInEra(1, 2);
        follower.onCopy({.items = {item("a/1", "y", restored)}, .revision = restored}, now);
        CHECK(follower.onChanges({.changes = {written("a/1", "z", 11)}, .revision = 11}, 9, now)
                  .empty());
        CHECK(
            follower.onListing({.items = {item("a/1", "z", 11)}, .revision = 11}, {}, now).empty());
        follower.onUpdate(updateOf(reader, 3, 12, {written("a/1", "z", 12)}), reader, now);
        CHECK(follower.mirror().items() == std::vector {item("a/1", "y", restored)});
        CHECK(follower.mirror().revision() == restored);
    }

    SECTION("an update that was only late is no gap")
    {
        follower.onUpdate(updateOf(reader, 9, 20), reader, now);
        follower.onUpdate(updateOf(reader, 3, 15), reader, now);
        CHECK(follower.next(now + absl::Milliseconds(200), true).kind == action::Idle);
        CHECK(follower.mirror().revision() == 20);
    }

    SECTION("a difference between listings applies to the same contents only")
    {
        mirror_update difference = updateOf(reader, 9, 30, {written("a/2", "y", 25)});
        difference.isDifference = true;
        CHECK(follower.onUpdate(difference, reader, now).size() == 1);
        CHECK(follower.mirror().revision() == 30);
        const std::int64_t beforeItsLastChange = 20;
        difference.after = beforeItsLastChange;
        difference.revision = 40;
        CHECK(follower.onUpdate(difference, reader, now).empty());
        CHECK(follower.mirror().revision() == 30);
    }

    SECTION("a change that stands in others' digests but in no update is requested in time")
    {
        follower.onPeerRevision(15, now);
        CHECK(follower.next(now, true).kind == action::Idle);
        const absl::Time later = now + mirror_follower::maxUpdateLag;
        follower.onUpdate(updateOf(next == vmOfRank(rank) ? reader : next, 3, 9), next, later);
        follower.onPeerRevision(15, later);
        CHECK(follower.next(later + absl::Milliseconds(300), true).kind == action::Copy);
    }
}
