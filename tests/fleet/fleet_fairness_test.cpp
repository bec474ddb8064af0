#include "fleet/fleet_model.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

/** Upper bounds of the gap, in units of the largest weighted request. */
constexpr double gapWithoutFaults = 2.0;
constexpr double gapUnderFaults = 4.0;

constexpr absl::Duration warmUp = absl::Seconds(20);
constexpr absl::Duration recovery = absl::Seconds(10);

/** Returns the options of a fleet with enough slots to distinguish eight workspaces by share. */
fleet_options wideFleet()
{
    return {.vms = 3,
            .dataCentres = 2,
            .targetsPerDataCentre = 4,
            .slotsPerTarget = 4,
            .shares = {4.0, 3.0, 2.0, 1.0, 4.0, 3.0, 2.0, 1.0},
            .backlog = 12,
            .deadline = absl::Minutes(10)};
}

} // namespace

SCENARIO("the service gap stays bounded while nothing fails")
{
    GIVEN("eight backlogged workspaces with exact hints")
    {
        fleet_model fleet(wideFleet());
        fleet.run(warmUp);
        fleet.resetGap();
        fleet.run(absl::Minutes(3));
        CHECK(fleet.gap() <= gapWithoutFaults);
    }
    GIVEN("one workspace whose hints are ten times too low")
    {
        fleet_options options = wideFleet();
        options.hintFactor = 0.1;
        fleet_model fleet(options);
        fleet.run(warmUp);
        fleet.resetGap();
        fleet.run(absl::Minutes(3));
        CHECK(fleet.gap() <= gapUnderFaults);
    }
    GIVEN("service counted in answered requests")
    {
        fleet_options options = wideFleet();
        options.answeredRequests = true;
        fleet_model fleet(options);
        fleet.run(warmUp);
        fleet.resetGap();
        fleet.run(absl::Minutes(3));
        CHECK(fleet.gap() <= gapWithoutFaults);
    }
    GIVEN("all requests at one router only")
    {
        fleet_model fleet(wideFleet());
        fleet.setLoadedRouters({1});
        fleet.run(warmUp);
        fleet.resetGap();
        fleet.run(absl::Minutes(2));
        CHECK(fleet.gap() <= gapWithoutFaults);
    }
}

SCENARIO("the service gap stays bounded through faults")
{
    fleet_model fleet(wideFleet());
    fleet.run(warmUp);
    fleet.resetGap();

    SECTION("a shard owner is killed and restarts")
    {
        fleet.killScheduler(0);
        fleet.run(absl::Seconds(20));
        fleet.startScheduler(0);
        fleet.run(absl::Seconds(20));
    }
    SECTION("a VM is partitioned from the others and rejoins")
    {
        fleet.partition({2});
        fleet.run(absl::Seconds(20));
        fleet.partition({});
        fleet.run(absl::Seconds(20));
    }
    SECTION("the store is down for a minute")
    {
        fleet.setStoreDown(true);
        fleet.run(absl::Seconds(60));
        fleet.setStoreDown(false);
        fleet.run(absl::Seconds(20));
    }
    SECTION("a data centre is taken out and brought back")
    {
        fleet.setDataCentresOut({1});
        fleet.run(absl::Seconds(20));
        fleet.setDataCentresOut({});
        fleet.run(absl::Seconds(20));
    }
    CHECK(fleet.gap() <= gapUnderFaults);

    fleet.run(recovery);
    fleet.resetGap();
    fleet.run(absl::Minutes(1));
    CHECK(fleet.gap() <= gapWithoutFaults);
}

SCENARIO("the workspace with the smallest share is served while fifteen others flood the fleet")
{
    fleet_options options = wideFleet();
    options.shares.assign(15, 10.0);
    options.shares.push_back(1.0);
    options.backlog = 20;
    fleet_model fleet(options);
    fleet.run(warmUp);
    const auto before = fleet.served();
    fleet.run(absl::Minutes(4));
    const auto after = fleet.served();
    double total = 0.0;
    for (const auto &[workspace, units] : after)
        total += units - before.at(workspace);
    const std::string smallest = fleet.workspaceName(15);
    const double expected = total / 151.0;
    constexpr double largestRequest = 400.0;
    CHECK(after.at(smallest) - before.at(smallest) >= expected - gapWithoutFaults * largestRequest);
    CHECK(after.at(smallest) > before.at(smallest));
}
