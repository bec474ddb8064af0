#include "replica_fleet/replica_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

const std::string configuration = replica_fleet::configurationKey;
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
