#include "emulator/emulator.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr std::size_t singleVmWorkspace = 0;
constexpr int maxConnections = 144;
constexpr absl::Duration warmUp = absl::Seconds(5);
constexpr absl::Duration loadDuration = absl::Seconds(10);

/** An idle fleet in which the callers of one workspace, with long answers, connect to one VM. */
struct fleet_with_long_answers
{
    fleet_with_long_answers(int vms, std::uint64_t seed)
        : events(absl::UnixEpoch() + absl::Hours(1))
        , invariants(invariant_limits {})
        , fleet(events, invariants, planOf(vms, seed))
        , callers(events, fleet, invariants, loadOf(seed))
    {
        events.runUntil(events.now() + warmUp);
        events.every(absl::Milliseconds(20), [this] { countConnections(); });
        callers.start(loadDuration);
        events.runUntil(events.now() + loadDuration + absl::Seconds(10));
    }

    static load_plan loadOf(std::uint64_t seed)
    {
        return {.classes = {{.name = "letter",
                             .service = "model",
                             .perSecond = 60.0,
                             .retries = 0,
                             .sharedParts = {{.tokens = {.mean = 5000.0}, .variantCount = 4}},
                             .ownTokens = {.mean = 100.0},
                             .outputTokens = {.mean = 600.0}}},
                .workspaces = 1,
                .singleVmWorkspaces = {singleVmWorkspace},
                .seed = seed};
    }

    static fleet_plan planOf(int vms, std::uint64_t seed)
    {
        const load_plan load = loadOf(seed);
        fleet_plan plan {.vms = vms,
                         .services = {{.name = "model",
                                       .targets = 12,
                                       .parameters = engine_parameters {},
                                       .maxConnections = maxConnections}},
                         .workspaces = load.workspaceNames(),
                         .tokensPerSecond = 600000.0,
                         .seed = seed};
        for (const class_plan &kind : load.classes)
            plan.routes.push_back(kind.toRoute());
        return plan;
    }

    void countConnections()
    {
        for (std::size_t target = 0; target < fleet.targetCount(); ++target) {
            int open = 0;
            for (std::size_t vm = 0; vm < fleet.vmCount(); ++vm)
                open += fleet.router(vm)->openConnections(fleet.target(target).record().address);
            mostConnections = std::max(mostConnections, open);
        }
    }

    event_queue events;
    invariant_checker invariants;
    emulated_fleet fleet;
    caller_population callers;
    int mostConnections = 0;
};

} // namespace

TEST_CASE("a VM that all callers of a workspace use is not held to an even share of connections",
          "[connections]")
{
    const int vms = GENERATE(24, 72);
    const std::uint64_t seed = GENERATE(1U, 2U);
    const fleet_with_long_answers test(vms, seed);
    const service_sum served = test.callers.statistics().total();
    INFO(vms << " VMs, seed " << seed << ": " << served.requests << " requests, " << served.onTime
             << " on time, " << served.refused << " refused, " << served.failed << " failed, "
             << test.mostConnections << " connections to one target at most");
    CHECK(served.refused + served.failed == 0);
    CHECK(test.mostConnections <= maxConnections);
    CHECK(test.invariants.violations().empty());
}
