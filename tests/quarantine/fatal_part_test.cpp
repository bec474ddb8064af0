#include "quarantine/fatal_part_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr std::uint64_t fatalPart = 0xfa7a1;
constexpr std::uint64_t otherFatalPart = 0xfa7a2;
/** The users' bound for a fleet that knows a fatal part. */
constexpr std::size_t maxSendsOnceFound = 3;
constexpr absl::Duration playTime = absl::Seconds(20);

using part_set = absl::btree_set<part_id>;

/** Checks the users' bound, and that no other part was held. */
void checkFound(fatal_part_fleet &fleet)
{
    CAPTURE(fleet.fleet().fatalCrashes().size());
    CHECK(fleet.fatalSendsAfter(fleet.boundAt()) <= maxSendsOnceFound);
    CHECK(fleet.everHeld() == part_set {fatalPart});
}

} // namespace

TEST_CASE("requests with a prompt part under which targets end do not go on to other targets",
          "[quarantine]")
{
    const auto [vms, seed] = GENERATE(table<int, std::uint64_t>(
        {{6, 1U}, {6, 2U}, {6, 3U}, {72, 1U}, {72, 2U}, {195, 1U}, {195, 2U}}));
    CAPTURE(vms, seed);
    fatal_part_fleet fleet({.vms = vms, .seed = seed, .fatalParts = {fatalPart}});
    fleet.run(playTime);
    checkFound(fleet);
    CHECK(fleet.isHeldByAll(fatalPart));
    // Half of the served fraction before, as the users ask.
    const absl::Time start = fleet.loadStartedAt();
    const double before = fleet.servedFraction(start, start + fatal_part_fleet::fatalFrom);
    const absl::Time settled = fleet.boundAt() < absl::InfiniteFuture()
        ? fleet.boundAt() + fatal_part_fleet::contactTime
        : start + absl::Seconds(13);
    CHECK(fleet.servedFraction(settled, start + absl::Seconds(18)) >= before / 2.0);
}

TEST_CASE("a fatal prompt part is found at each position and rate", "[quarantine]")
{
    SECTION("as the first or the last of the shared parts")
    {
        const std::size_t position = GENERATE(0U, 2U);
        CAPTURE(position);
        fatal_part_fleet fleet({.fatalParts = {fatalPart}, .position = position});
        fleet.run(playTime);
        checkFound(fleet);
    }
    SECTION("in few or in many requests")
    {
        const double fraction = GENERATE(0.01, 0.02, 0.2);
        const int vms = GENERATE(6, 72);
        CAPTURE(fraction, vms);
        fatal_part_fleet fleet({.vms = vms,
                                .fatalParts = {fatalPart},
                                .fatalFraction = fraction,
                                .fatalDuration = absl::Minutes(1)});
        fleet.run(absl::Minutes(1));
        checkFound(fleet);
    }
    SECTION("while one datagram in five is lost")
    {
        const int vms = GENERATE(6, 72);
        CAPTURE(vms);
        fatal_part_fleet fleet({.vms = vms, .fatalParts = {fatalPart}, .lostDigestFraction = 0.2});
        fleet.run(playTime);
        checkFound(fleet);
    }
    SECTION("two of them at a time")
    {
        fatal_part_fleet fleet(
            {.vms = 72, .fatalParts = {fatalPart, otherFatalPart}, .fatalFraction = 0.03});
        fleet.run(playTime);
        CHECK(fleet.everHeld() == part_set {fatalPart, otherFatalPart});
        CHECK(fleet.isHeldByAll(fatalPart));
        CHECK(fleet.isHeldByAll(otherFatalPart));
    }
    SECTION("after it has been sound for long")
    {
        fatal_part_fleet fleet({.fatalParts = {fatalPart}, .fatalDuration = absl::Minutes(1)});
        fleet.fleet().setFatalParts({});
        fleet.run(absl::Seconds(15));
        REQUIRE(fleet.everHeld().empty());
        fleet.fleet().setFatalParts({fatalPart});
        fleet.run(playTime);
        checkFound(fleet);
    }
}

TEST_CASE("a router knows a held prompt part soon after its start", "[quarantine]")
{
    const int vms = GENERATE(6, 72);
    CAPTURE(vms);
    fatal_part_fleet fleet(
        {.vms = vms, .fatalParts = {fatalPart}, .fatalDuration = absl::Minutes(1)});
    fleet.run(playTime);
    REQUIRE(fleet.isHeldByAll(fatalPart));
    const std::size_t sends = fleet.fleet().fatalSends().size();

    SECTION("restarted")
    {
        fleet.fleet().killVm(1);
        fleet.run(absl::Seconds(2));
        fleet.fleet().startVm(1);
    }
    SECTION("frozen for a while")
    {
        fleet.fleet().freezeVm(1);
        fleet.run(absl::Seconds(4));
        fleet.fleet().unfreezeVm(1);
    }
    SECTION("cut off for a while, and restarted meanwhile")
    {
        fleet.fleet().partitionVm(1);
        fleet.fleet().killVm(1);
        fleet.run(absl::Seconds(4));
        fleet.fleet().reconnectVm(1);
        fleet.fleet().startVm(1);
    }
    fleet.run(absl::Milliseconds(1000));
    CHECK(fleet.isHeldByAll(fatalPart));
    CHECK(fleet.fleet().fatalSends().size() - sends <= maxSendsOnceFound);
}

TEST_CASE("a held prompt part is tried seldom, and released once it is sound", "[quarantine]")
{
    const int vms = GENERATE(6, 18);
    CAPTURE(vms);
    fatal_part_fleet fleet(
        {.vms = vms, .fatalParts = {fatalPart}, .fatalDuration = absl::Hours(1)});
    fleet.run(playTime);
    REQUIRE(fleet.isHeldByAll(fatalPart));

    SECTION("while it ends targets, one request for all routers is let through, then a later one")
    {
        const absl::Time from = fleet.boundAt();
        fleet.run(absl::Seconds(120));
        CHECK(fleet.isHeldByAll(fatalPart));
        CHECK(fleet.fatalSendsAfter(from) <= 1);
    }
    SECTION("once it is sound again, a request that is let through releases it everywhere")
    {
        fleet.fleet().setFatalParts({});
        fleet.run(absl::Seconds(80));
        CHECK_FALSE(fleet.isHeldByAll(fatalPart));
        for (std::size_t vm = 0; vm < fleet.fleet().vmCount(); ++vm)
            CHECK(fleet.fleet().router(vm)->node().quarantine().held().empty());
    }
}

TEST_CASE("no sound prompt part is held when targets end for other reasons", "[quarantine]")
{
    const auto [vms, seed] = GENERATE(
        table<int, std::uint64_t>({{6, 1U}, {6, 2U}, {6, 3U}, {6, 4U}, {48, 1U}, {48, 2U}}));
    CAPTURE(vms, seed);
    fatal_part_fleet fleet({.vms = vms, .seed = seed});
    emulated_fleet &targets = fleet.fleet();
    fleet.run(absl::Seconds(4));

    SECTION("a quarter of the targets crash at once, several times")
    {
        for (int round = 0; round < 4; ++round) {
            for (std::size_t target = 0; target < targets.targetCount(); target += 4)
                targets.crashTarget(target, crash_kind::Reset);
            fleet.run(absl::Seconds(3));
            for (std::size_t target = 0; target < targets.targetCount(); ++target)
                targets.restartTarget(target);
            fleet.run(absl::Seconds(2));
        }
    }
    SECTION("a data centre is lost")
    {
        for (std::size_t target = 0; target < targets.targetCount(); target += 3)
            targets.crashTarget(target, crash_kind::Reset);
        fleet.run(absl::Seconds(10));
    }
    SECTION("one target crashes again and again")
    {
        for (int round = 0; round < 6; ++round) {
            targets.crashTarget(0, crash_kind::Reset);
            fleet.run(absl::Seconds(2));
            targets.restartTarget(0);
            fleet.run(absl::Seconds(3));
        }
    }
    SECTION("targets crash one after the other")
    {
        for (std::size_t target = 0; target < 6; ++target) {
            targets.crashTarget(target, crash_kind::Reset);
            fleet.run(absl::Seconds(1));
        }
        fleet.run(absl::Seconds(5));
    }
    SECTION("targets lose answers and break streams")
    {
        for (std::size_t target = 0; target < targets.targetCount(); target += 2)
            targets.target(target).setFaults(
                {.lostAnswerProbability = 0.1, .brokenStreamProbability = 0.1});
        fleet.run(absl::Seconds(20));
    }
    SECTION("targets are replaced one after the other")
    {
        for (std::size_t target = 0; target < 4; ++target) {
            targets.drainTarget(target, absl::Seconds(2));
            fleet.run(absl::Seconds(3));
            targets.restartTarget(target);
        }
    }
    SECTION("targets fall silent")
    {
        for (std::size_t target = 0; target < 6; target += 2) {
            targets.crashTarget(target, crash_kind::Unresponsive);
            fleet.run(absl::Seconds(2));
        }
        fleet.run(absl::Seconds(6));
    }
    CHECK(fleet.everHeld().empty());
}
