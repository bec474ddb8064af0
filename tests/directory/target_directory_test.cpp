#include "directory/directory.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;

namespace {

target_record engine(const std::string &id, const std::string &dataCentre = "north")
{
    return {.id = id,
            .service = "model",
            .address = {.host = "10.0.0.1", .port = 80},
            .dataCentre = dataCentre,
            .slots = 4,
            .startedAtMs = 1};
}

} // namespace

TEST_CASE("a target receives requests while its record allows it", "[directory]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    // Three heartbeats, and the time until all routers know.
    const absl::Duration removalTime = 3 * absl::Milliseconds(1200) + absl::Milliseconds(1400);
    target_directory directory(removalTime);
    directory.apply(engine("a"), absl::ZeroDuration(), start);
    directory.apply(engine("b", "south"), absl::ZeroDuration(), start);
    REQUIRE(directory.usableTargets("model", start).size() == 2);
    CHECK(directory.usableTargets("other", start).empty());

    SECTION("a draining target receives no more requests")
    {
        target_record draining = engine("a");
        draining.isDraining = true;
        directory.apply(draining, absl::ZeroDuration(), start);
        CHECK_FALSE(directory.mayReceive("a", start));
        CHECK(directory.mayReceive("b", start));
    }

    SECTION("a target that said it leaves receives no more requests, whatever its record says")
    {
        directory.markLeaving("a", 1, start);
        CHECK_FALSE(directory.mayReceive("a", start));
        CHECK(directory.mayReceive("b", start));
        CHECK(directory.usableTargets("model", start).size() == 1);
        const absl::Time later = start + absl::Minutes(1);
        directory.apply(engine("a"), absl::ZeroDuration(), later);
        CHECK_FALSE(directory.mayReceive("a", later));

        AND_WHEN("its record disappears and comes back")
        {
            directory.remove("a", later);
            directory.apply(engine("a"), absl::ZeroDuration(), later);
            CHECK_FALSE(directory.mayReceive("a", later));
        }

        AND_WHEN("it starts again under the same name")
        {
            target_record restarted = engine("a");
            restarted.startedAtMs = 2;
            directory.apply(restarted, absl::ZeroDuration(), later);
            CHECK(directory.mayReceive("a", later));
            directory.markLeaving("b", 0, later);
            CHECK(directory.mayReceive("b", later));
        }
    }

    SECTION("a target that refused with a time receives nothing before it")
    {
        const absl::Time until = start + absl::Milliseconds(1500);
        directory.markRefusing("a", 1, until, start);
        directory.markRefusing("a", 1, start + absl::Milliseconds(200), start);
        CHECK_FALSE(directory.mayReceive("a", until - absl::Milliseconds(1)));
        CHECK(directory.mayReceive("a", until));
        CHECK(directory.mayReceive("b", start));

        AND_WHEN("all others are gone or leave, it is known when the next one takes requests")
        {
            directory.markLeaving("b", 1, start);
            CHECK(directory.nextAvailableAt("model", start) == until);
            CHECK_FALSE(directory.nextAvailableAt("other", start).has_value());
        }
    }

    SECTION("an unreachable target is treated as cold until the list rules out a restart")
    {
        const target_state &state = *directory.find("a");
        REQUIRE_FALSE(directory.isCold(state, start));
        directory.markUnreachable("a", start);
        const absl::Time detected = start + removalTime;
        directory.onListConfirmed(detected - absl::Seconds(1));
        CHECK(directory.isCold(state, detected - absl::Seconds(1)));
        directory.onListConfirmed(detected);
        CHECK_FALSE(directory.isCold(state, detected));
        CHECK_FALSE(directory.isCold(*directory.find("b"), start));

        SECTION("which the record of a target that was down for some seconds does not yet")
        {
            const absl::Time restarted = start + absl::Milliseconds(2700);
            directory.markUnreachable("a", start);
            directory.onListConfirmed(restarted + absl::Seconds(1));
            CHECK(directory.isCold(state, restarted + absl::Seconds(1)));
        }

        SECTION("which takes longer while the list is not confirmed")
        {
            directory.onListConfirmed(detected - absl::Milliseconds(1));
            CHECK(directory.isCold(state, detected));
            CHECK(directory.isCold(state, detected + absl::Seconds(60)));
        }

        SECTION("or until it answers an earlier request")
        {
            directory.onListConfirmed(start);
            directory.markAlive("a", start + absl::Milliseconds(1));
            CHECK(directory.isCold(state, start));
            directory.markAlive("a", start - absl::Milliseconds(1));
            CHECK_FALSE(directory.isCold(state, start));
        }

        SECTION("which takes longer while the list is unavailable")
        {
            directory.onListUnavailable(start + absl::Seconds(1));
            CHECK(directory.isCold(state, start + absl::Seconds(60)));
            const absl::Time back = start + absl::Seconds(61);
            directory.onListAvailable(back);
            directory.onListConfirmed(back);
            CHECK(directory.isCold(state, back));
            directory.onListConfirmed(back + removalTime);
            CHECK_FALSE(directory.isCold(state, back + removalTime));
        }
    }

    SECTION("a target whose record is removed while the list is available is removed")
    {
        directory.remove("a", start);
        CHECK(directory.find("a") == nullptr);
    }

    SECTION("a target whose record lapses during an outage is kept for the grace period")
    {
        directory.onListUnavailable(start);
        directory.onListAvailable(start + absl::Seconds(9));
        directory.remove("a", start + absl::Seconds(9));
        CHECK(directory.mayReceive("a", start + absl::Seconds(10)));
        CHECK_FALSE(directory.mayReceive("a", start + absl::Seconds(11)));

        AND_THEN("it is removed with the next removal")
        {
            directory.remove("b", start + absl::Seconds(20));
            CHECK(directory.find("a") == nullptr);
        }

        AND_THEN("it is kept if its record reappears")
        {
            directory.apply(engine("a"), absl::ZeroDuration(), start + absl::Seconds(10));
            CHECK(directory.mayReceive("a", start + absl::Seconds(20)));
        }
    }

    SECTION("a target whose record is overwritten by one that names none is removed at once")
    {
        directory.onListUnavailable(start);
        directory.drop("a");
        directory.drop("unknown");
        CHECK_FALSE(directory.mayReceive("a", start));
        CHECK(directory.mayReceive("b", start));
        directory.onListAvailable(start);
        directory.apply(engine("a"), absl::ZeroDuration(), start);
        CHECK(directory.mayReceive("a", start));
    }

    SECTION("a draining target is not kept after an outage")
    {
        target_record draining = engine("a");
        draining.isDraining = true;
        directory.apply(draining, absl::ZeroDuration(), start);
        directory.onListUnavailable(start);
        directory.onListAvailable(start + absl::Seconds(9));
        directory.remove("a", start + absl::Seconds(9));
        CHECK(directory.find("a") == nullptr);
    }

    SECTION("a target at whose address another one answers receives no requests until its address "
            "changes")
    {
        directory.markReplaced("a");
        directory.apply(engine("a"), absl::ZeroDuration(), start);
        CHECK_FALSE(directory.mayReceive("a", start));
        target_record moved = engine("a");
        moved.address.port = 81;
        directory.apply(moved, absl::ZeroDuration(), start);
        CHECK(directory.mayReceive("a", start));
    }

    SECTION("a target of an evacuated data centre receives no requests, and is cold afterwards")
    {
        directory.setEvacuated({"south"}, {}, start);
        CHECK_FALSE(directory.mayReceive("b", start));
        CHECK(directory.mayReceive("a", start));
        directory.setEvacuated({}, {{"model", absl::Seconds(3)}}, start + absl::Seconds(5));
        CHECK(directory.mayReceive("b", start + absl::Seconds(5)));
        CHECK(directory.find("b")->coldUntil == start + absl::Seconds(8));
        CHECK(directory.find("a")->coldUntil < start);
    }
}

TEST_CASE("a target is cold after it starts", "[directory]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    target_directory directory;

    SECTION("for the time in its record")
    {
        target_record cold = engine("a");
        cold.coldDuration = absl::Seconds(2);
        directory.apply(cold, absl::ZeroDuration(), start);
        CHECK(directory.find("a")->coldUntil == start + absl::Seconds(2));
    }

    SECTION("for the time of its service if it appears after the first listing")
    {
        directory.apply(engine("a"), absl::Seconds(3), start);
        CHECK(directory.find("a")->coldUntil == start + absl::Seconds(3));
    }

    SECTION("again when it restarts under the same id")
    {
        directory.apply(engine("a"), absl::ZeroDuration(), start);
        target_record restarted = engine("a");
        restarted.startedAtMs = 2;
        directory.apply(restarted, absl::Seconds(3), start + absl::Seconds(10));
        CHECK(directory.find("a")->coldUntil == start + absl::Seconds(13));
    }

    SECTION("but not again when its record is renewed")
    {
        directory.apply(engine("a"), absl::Seconds(3), start);
        directory.apply(engine("a"), absl::Seconds(3), start + absl::Seconds(2));
        CHECK(directory.find("a")->coldUntil == start + absl::Seconds(3));
    }
}

TEST_CASE("whether a target still runs after it seemed to have ended", "[directory]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    const absl::Time endedAt = start + absl::Seconds(10);
    constexpr absl::Duration removalTime = absl::Seconds(5);
    target_directory directory;
    directory.apply(engine("a"), absl::ZeroDuration(), start);
    const auto isStillListed = [&](absl::Duration later) {
        return directory.isStillListed("a", 1, endedAt, removalTime, endedAt + later);
    };

    SECTION("is known once its record would have been removed")
    {
        directory.onListConfirmed(endedAt + absl::Seconds(4));
        CHECK_FALSE(isStillListed(absl::Seconds(4)));
        directory.onListConfirmed(endedAt + absl::Seconds(6));
        CHECK(isStillListed(absl::Seconds(6)));

        AND_THEN("it does not if the record is of a later start")
        {
            target_record restarted = engine("a");
            restarted.startedAtMs = 2;
            directory.apply(restarted, absl::ZeroDuration(), endedAt + absl::Seconds(6));
            CHECK_FALSE(isStillListed(absl::Seconds(6)));
        }
        AND_THEN("it does not if the record is removed")
        {
            directory.remove("a", endedAt + absl::Seconds(6));
            CHECK_FALSE(isStillListed(absl::Seconds(6)));
        }
    }
    SECTION("is not known in an outage of the list, nor shortly after, as no record expires in it")
    {
        directory.onListUnavailable(endedAt);
        directory.onListConfirmed(endedAt + absl::Seconds(6));
        CHECK_FALSE(isStillListed(absl::Seconds(6)));
        directory.onListAvailable(endedAt + absl::Seconds(8));
        directory.onListConfirmed(endedAt + absl::Seconds(9));
        CHECK_FALSE(isStillListed(absl::Seconds(9)));
        directory.onListConfirmed(endedAt + absl::Seconds(14));
        CHECK(isStillListed(absl::Seconds(14)));
    }
}

TEST_CASE("a list of targets that was restored from an older copy", "[directory]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    const absl::Duration removalTime = absl::Seconds(5);
    target_directory directory(removalTime);
    directory.apply(engine("a"), absl::ZeroDuration(), start);
    const absl::Time restoredAt = start + absl::Seconds(10);
    const absl::Time graceEnd = restoredAt + target_directory::lapseGracePeriod;

    SECTION("a target that it lacks may receive requests until its record should be back")
    {
        directory.onListRestored(restoredAt);
        directory.remove("a", restoredAt);
        CHECK(directory.mayReceive("a", graceEnd - absl::Milliseconds(1)));
        CHECK_FALSE(directory.mayReceive("a", graceEnd));
    }

    SECTION("a target that was leaving does not receive requests again")
    {
        target_record draining = engine("a");
        draining.isDraining = true;
        directory.apply(draining, absl::ZeroDuration(), start);
        directory.onListRestored(restoredAt);
        directory.apply(engine("a"), absl::ZeroDuration(), restoredAt);
        CHECK_FALSE(directory.mayReceive("a", restoredAt));
        CHECK_FALSE(directory.mayReceive("a", restoredAt + absl::Minutes(1)));
    }

    SECTION("a target that was gone receives requests only if it stays listed")
    {
        directory.remove("a", start + absl::Seconds(8));
        directory.onListRestored(restoredAt);
        directory.apply(engine("a"), absl::ZeroDuration(), restoredAt);
        CHECK_FALSE(directory.mayReceive("a", restoredAt + removalTime - absl::Milliseconds(1)));
        CHECK(directory.mayReceive("a", restoredAt + removalTime));
    }

    SECTION("without a restoration a target that was gone receives requests at once")
    {
        directory.remove("a", start + absl::Seconds(8));
        directory.apply(engine("a"), absl::ZeroDuration(), restoredAt);
        CHECK(directory.mayReceive("a", restoredAt));
    }

    SECTION("a record of an earlier start is ignored until the target has written its own again")
    {
        target_record restarted = engine("a");
        restarted.startedAtMs = 2;
        directory.apply(restarted, absl::ZeroDuration(), start);
        directory.onListRestored(restoredAt);
        directory.apply(engine("a"), absl::ZeroDuration(), restoredAt);
        CHECK(directory.find("a")->record.startedAtMs == 2);
        CHECK_FALSE(directory.mayReceive("a", graceEnd));
        directory.apply(restarted, absl::ZeroDuration(), restoredAt + absl::Seconds(1));
        CHECK(directory.mayReceive("a", graceEnd));
    }
}
