#include "replica_fleet/replica_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

const std::string configuration = replica_fleet::configurationKey;
const std::string revokedKey = std::string(replica_fleet::targetPrefix) + "revoked";
/** Far above a datagram, so that updates only announce it. */
constexpr std::size_t configurationBytes = 20000;
/** Until when a change must be in force, as the platform asks (configApplyMs). */
constexpr absl::Duration maxApplyTime = absl::Seconds(3);

std::string version(int number)
{
    return std::string(configurationBytes, 'x') + std::to_string(number);
}

int staleCount(const replica_fleet &fleet, int number)
{
    int stale = 0;
    for (int vm = 0; vm < fleet.size(); ++vm)
        stale += fleet.valueAt(vm, configuration) == version(number) ? 0 : 1;
    return stale;
}

} // namespace

TEST_CASE("no router stays behind a change that the service does not deliver", "[stale_replica]")
{
    const int vms = GENERATE(6, 66, 195, 340);
    CAPTURE(vms);
    replica_fleet fleet({.vms = vms});
    fleet.store().write(configuration, version(1));
    fleet.run(absl::Seconds(8));
    REQUIRE(staleCount(fleet, 1) == 0);

    SECTION("watches are deaf while three versions are written, then the history is lost")
    {
        const int phase = GENERATE(0, 150, 300, 450, 600);
        CAPTURE(phase);
        fleet.run(absl::Milliseconds(phase));
        fleet.store().deafenWatches();
        for (int number = 2; number <= 4; ++number) {
            fleet.run(absl::Milliseconds(200));
            fleet.store().write(configuration, version(number));
        }
        fleet.run(absl::Milliseconds(600));
        fleet.store().compactHistory();
        fleet.run(maxApplyTime - absl::Milliseconds(600));
        CHECK(staleCount(fleet, 4) == 0);
    }

    SECTION("copies can't be had, and the service answers more slowly than a follower looks again")
    {
        fleet.store().setLatency(absl::Milliseconds(250));
        fleet.withholdCopies(true);
        fleet.run(absl::Seconds(2));
        fleet.store().write(configuration, version(2));
        fleet.run(2 * maxApplyTime);
        CHECK(staleCount(fleet, 2) == 0);
    }
}

TEST_CASE("routers with slow links get three large versions in time", "[stale_replica]")
{
    const int vms = GENERATE(66, 195, 340);
    CAPTURE(vms);
    replica_fleet fleet({.vms = vms, .linkMbps = 10.0});
    fleet.store().write(configuration, version(1));
    fleet.run(absl::Seconds(20));
    REQUIRE(staleCount(fleet, 1) == 0);
    const std::int64_t before = fleet.store().callCount();
    for (int number = 2; number <= 4; ++number) {
        fleet.store().write(configuration, version(number));
        fleet.run(absl::Milliseconds(250));
    }
    fleet.run(maxApplyTime - absl::Milliseconds(250));
    CHECK(staleCount(fleet, 4) == 0);
    // A few routers may be left without a copy; most need no call.
    CHECK(fleet.store().callCount() - before < vms);
}

TEST_CASE("all replicas follow a service that comes back from an older copy", "[stale_replica]")
{
    const int vms = GENERATE(2, 6, 66, 340);
    CAPTURE(vms);
    replica_fleet fleet({.vms = vms});
    fleet.store().write(configuration, version(1));
    fleet.store().write(revokedKey, "valid");
    fleet.run(absl::Seconds(8));
    REQUIRE(fleet.isConverged());
    fleet.store().takeCopy();
    fleet.store().write(configuration, version(2));
    fleet.store().write("servers/since", "ready");
    fleet.store().remove(revokedKey);
    fleet.run(absl::Seconds(2));
    REQUIRE(fleet.isConverged());

    SECTION("what was written and removed since the copy is undone at each router")
    {
        fleet.store().restore();
        fleet.run(maxApplyTime);
        CHECK(fleet.isConverged());
        CHECK(staleCount(fleet, 1) == 0);
    }

    SECTION("revisions that are given out again do not hide the changes that have them")
    {
        fleet.store().restore();
        for (int number = 0; number < 4; ++number)
            fleet.store().write("servers/again-" + std::to_string(number), "ready");
        fleet.run(maxApplyTime);
        CHECK(fleet.isConverged());
    }

    SECTION("the operators write their changes again while the service comes back a second time")
    {
        fleet.store().restore();
        fleet.run(absl::Milliseconds(300));
        fleet.store().write(configuration, version(3));
        fleet.store().restore();
        fleet.store().write(configuration, version(4));
        fleet.run(maxApplyTime);
        CHECK(fleet.isConverged());
        CHECK(staleCount(fleet, 4) == 0);
    }

    SECTION("a router that was paused before brings nothing of the earlier era back")
    {
        fleet.pause(0);
        fleet.store().restore();
        fleet.run(maxApplyTime);
        fleet.resume(0);
        fleet.run(maxApplyTime);
        CHECK(fleet.isConverged());
    }

    SECTION("a router that can't reach the service gets the new state from the others")
    {
        fleet.store().setModeFor("vm-0", store_mode::Unresponsive);
        fleet.store().restore();
        fleet.run(2 * maxApplyTime);
        CHECK(fleet.isConverged());
    }
    CHECK(fleet.violations().empty());
}
