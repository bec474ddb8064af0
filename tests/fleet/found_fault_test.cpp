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

SCENARIO("an owner that was paused briefly does not number its tickets anew")
{
    fleet_model fleet({.idempotent = false, .answeredRequests = true, .seed = 0});
    runScript(fleet, {{fault_kind::PauseScheduler, 10, 0, 28}});
    CHECK(fleet.longestIdle() < absl::Seconds(1));
}

SCENARIO("a request whose answer was lost is never told not run when its deadline passes")
{
    fleet_model fleet({.seed = 0});
    runScript(fleet, {{fault_kind::PauseRouter, 0, 0, 12}, {fault_kind::KillTarget, 0, 0, 1}});
    fleet.setGenerating(false);
    fleet.run(absl::Minutes(1));
    CHECK(violations(fleet).empty());
}
