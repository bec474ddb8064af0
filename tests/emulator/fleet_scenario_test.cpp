#include "emulator/test_fleet.h"

#include <catch2/catch.hpp>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

void checkInvariants(test_fleet &fleet)
{
    for (const std::string &violation : fleet.finish()) {
        CAPTURE(violation);
        CHECK(violation.empty());
    }
}

} // namespace

TEST_CASE("an emulated fleet under regular load without faults", "[emulator]")
{
    test_fleet fleet({.abandoningFraction = 0.0});
    const absl::Time start = fleet.events().now();
    fleet.run(absl::Seconds(20));
    fleet.checkSettled();
    const service_sum served
        = fleet.callers().statistics().ofWindow(start, start + absl::Seconds(18));
    checkInvariants(fleet);
    CHECK(served.requests > 800);
    CHECK(served.refused == 0);
    CHECK(served.share() > 0.95);
}

TEST_CASE("two runs with the same seed give the same result", "[emulator]")
{
    const auto once = [] {
        test_fleet fleet({.seed = 5});
        fleet.run(absl::Seconds(5));
        const service_sum sum = fleet.callers().statistics().total();
        return std::pair(sum.earnedWorth, sum.requests);
    };
    CHECK(once() == once());
}

TEST_CASE("planned shutdowns of all VMs in sequence fail at most 2 % of the requests", "[emulator]")
{
    test_fleet fleet({.abandoningFraction = 0.0});
    std::vector<fault> stops;
    for (int vm = 0; vm < 4; ++vm)
        stops.push_back({.kind = fault_kind::StopVm,
                         .subject = vm,
                         .delay = absl::Seconds(4),
                         .duration = absl::Seconds(9)});
    const absl::Time start = fleet.events().now();
    fleet.runFaults(stops);
    const service_sum served = fleet.servedSince(start);
    checkInvariants(fleet);
    CHECK(served.failed * 100 <= served.requests * 2);
}

TEST_CASE("a workspace that requests a multiple of its share does not take that of others",
          "[emulator]")
{
    test_fleet fleet({.load = 3.5, .abandoningFraction = 0.0});
    fleet.run(absl::Seconds(20));
    const service_statistics &statistics = fleet.callers().statistics();
    checkInvariants(fleet);
    CHECK(statistics.ofWorkspace(0).refused > 0);
    const double smallest = statistics.ofWorkspace(5).share();
    CHECK(smallest >= statistics.ofWorkspace(0).share());
}

TEST_CASE("sequences of faults that violated an invariant before", "[emulator]")
{
    SECTION("a target restarts while one VM that saw it crash is partitioned")
    {
        test_fleet fleet({.seed = 1});
        fleet.run(absl::Seconds(4));
        fleet.runFaults({{.kind = fault_kind::CrashTarget, .duration = absl::Milliseconds(600)},
                         {.kind = fault_kind::CutVm,
                          .delay = absl::Milliseconds(600),
                          .duration = absl::Milliseconds(1400)},
                         {.kind = fault_kind::Burst,
                          .delay = absl::Milliseconds(200),
                          .duration = absl::Milliseconds(1200)}});
        checkInvariants(fleet);
    }

    SECTION("an unresponsive target restarts at the end of a store outage")
    {
        test_fleet fleet({.seed = 982});
        fleet.run(absl::Seconds(4));
        fleet.runFaults({{.kind = fault_kind::StoreSilent,
                          .delay = absl::Milliseconds(1600),
                          .duration = absl::Milliseconds(400)},
                         {.kind = fault_kind::SilenceTarget,
                          .subject = 21,
                          .delay = absl::Milliseconds(1500),
                          .duration = absl::Seconds(2)},
                         {.kind = fault_kind::StoreSilent,
                          .delay = absl::Milliseconds(300),
                          .duration = absl::Milliseconds(1700)}});
        checkInvariants(fleet);
    }

    SECTION("a target restarts as a silent store comes back, beside a burst")
    {
        test_fleet fleet({.seed = 1});
        fleet.run(absl::Seconds(4));
        fleet.runFaults({{.kind = fault_kind::CrashTarget, .duration = absl::Milliseconds(2700)},
                         {.kind = fault_kind::StoreSilent,
                          .delay = absl::Seconds(2),
                          .duration = absl::Milliseconds(700)},
                         {.kind = fault_kind::Burst,
                          .delay = absl::Milliseconds(300),
                          .duration = absl::Milliseconds(1600)}});
        fleet.run(absl::Seconds(12));
        checkInvariants(fleet);
    }

    SECTION("two targets restart while a VM is frozen")
    {
        test_fleet fleet({.seed = 715});
        fleet.run(absl::Seconds(4));
        fleet.runFaults(
            {{.kind = fault_kind::CrashTarget, .subject = 5, .duration = absl::Milliseconds(3700)},
             {.kind = fault_kind::CrashTarget, .subject = 6, .duration = absl::Milliseconds(1700)},
             {.kind = fault_kind::FreezeVm,
              .subject = 5,
              .delay = absl::Milliseconds(1200),
              .duration = absl::Milliseconds(2500)}});
        fleet.run(absl::Seconds(12));
        checkInvariants(fleet);
    }

    SECTION("the watches of many VMs miss a configuration change")
    {
        test_fleet fleet({.vms = 24, .hasExchange = true});
        fleet.run(absl::Seconds(4));
        fleet.fleet().store().loseWatchEvents();
        fleet.fleet().writeConfiguration([](route_table_options &options) {
            options.routes.front().timeout += absl::Milliseconds(1);
        });
        fleet.run(absl::Seconds(1));
        fleet.fleet().store().compactHistory();
        fleet.run(absl::Seconds(1));
        fleet.checkSettled();
        checkInvariants(fleet);
    }
}
