#include "fleet/fault_script.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

void runScript(fleet_model &fleet, const std::vector<fault> &faults)
{
    fleet.run(absl::Seconds(12));
    fault_script(fleet, faults).run();
    fleet.run(absl::Seconds(15));
    fleet.resetIdle();
    fleet.run(absl::Seconds(10));
}

} // namespace

SCENARIO("an owner that was paused briefly does not restart its ticket numbers")
{
    fleet_model fleet({.idempotent = false, .answeredRequests = true, .seed = 0});
    runScript(fleet, {{fault_kind::PauseScheduler, 10, 0, 28}});
    CHECK(fleet.longestIdle() < absl::Seconds(1));
}

SCENARIO("a request whose answer was lost is never reported as not run when its deadline expires")
{
    fleet_model fleet({.seed = 0});
    runScript(fleet, {{fault_kind::PauseRouter, 0, 0, 12}, {fault_kind::KillTarget, 0, 0, 1}});
    fleet.setGenerating(false);
    fleet.run(absl::Minutes(1));
    CHECK(violations(fleet).empty());
}

SCENARIO("a target that restarts unobserved is treated as cold")
{
    for (const int coldSlots : {1, 2, 3}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            fleet_model fleet({.slotsPerTarget = 6, .coldSlots = coldSlots, .seed = seed});
            fleet.run(absl::Seconds(20));
            fleet.partition({0});
            fleet.setStoreDisconnected(0, true);
            fleet.killTarget(0);
            fleet.killTarget(2);
            fleet.run(absl::Seconds(4));
            fleet.restartTarget(0);
            fleet.restartTarget(2);
            fleet.run(absl::Seconds(10));
            INFO("seed " << seed << ", cold slots " << coldSlots);
            for (const fake_target &target : fleet.targets())
                CHECK(target.coldLimitExceeded() == 0);
        }
    }
}

SCENARIO("a successor counts the requests that its predecessor granted on a cold target")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const int delay : {100, 300, 700}) {
            fleet_model fleet({.seed = seed});
            fleet.run(absl::Milliseconds(3000 + delay));
            for (int vm = 0; vm < 3; ++vm) {
                fleet.killScheduler(vm);
                fleet.run(absl::Milliseconds(100));
                fleet.startScheduler(vm);
            }
            fleet.run(absl::Seconds(12));
            INFO("seed " << seed << ", delay " << delay);
            for (const fake_target &target : fleet.targets())
                CHECK(target.coldLimitExceeded() == 0);
        }
    }
}
