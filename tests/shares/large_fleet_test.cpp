#include "emulator/emulator.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr std::size_t greedyWorkspace = 0;
constexpr std::size_t singleVmWorkspace = 3;
constexpr absl::Duration warmUp = absl::Seconds(5);
constexpr absl::Duration overloadAt = absl::Seconds(4);
constexpr absl::Duration loadDuration = absl::Seconds(16);

/** Three classes of model requests that share long prompt parts. */
std::vector<class_plan> modelClasses()
{
    return {{.name = "dossier",
             .service = "model",
             .perSecond = 44.0,
             .sharedParts = {{.tokens = {.mean = 13300.0, .logStdDev = 0.7, .max = 39900.0},
                              .variantCount = 260,
                              .skew = 0.3}},
             .ownTokens = {.mean = 3720.0, .logStdDev = 1.1, .max = 53200.0},
             .outputTokens = {.mean = 120.0, .logStdDev = 1.4, .max = 480.0}},
            {.name = "letter",
             .service = "model",
             .perSecond = 20.0,
             .sharedParts = {{.tokens = {.mean = 6300.0, .logStdDev = 0.7, .max = 17000.0},
                              .variantCount = 80,
                              .skew = 0.3}},
             .ownTokens = {.mean = 2890.0, .logStdDev = 1.0, .max = 39600.0},
             .outputTokens = {.mean = 52.0, .logStdDev = 1.4, .max = 208.0}},
            {.name = "note",
             .service = "model",
             .perSecond = 68.0,
             .latencyObjective = absl::Milliseconds(400),
             .sharedParts = {{.tokens = {.mean = 350.0, .logStdDev = 0.6, .max = 940.0},
                              .variantCount = 180,
                              .skew = 0.3}},
             .ownTokens = {.mean = 1110.0, .logStdDev = 1.0, .max = 3790.0},
             .outputTokens = {.mean = 172.0, .logStdDev = 0.89, .max = 600.0}}};
}

/** By how much two workspaces ask for more than their usual, at the same time. */
struct overload_factors
{
    double greedy = 6.0;
    double singleVm = 6.0;
};

/** A fleet in which a workspace at all VMs and one at a single VM ask for more than their usual. */
struct overloaded_fleet
{
    overloaded_fleet(int vms, std::uint64_t seed, overload_factors factors)
        : events(absl::UnixEpoch() + absl::Hours(1))
        , invariants(invariant_limits {})
        , fleet(events, invariants, planOf(vms, loadOf(seed, factors)))
        , callers(events, fleet, invariants, loadOf(seed, factors))
    {
        events.runUntil(events.now() + warmUp);
        callers.start(loadDuration);
        events.runUntil(events.now() + loadDuration);
    }

    static load_plan loadOf(std::uint64_t seed, overload_factors factors)
    {
        return {.classes = modelClasses(),
                .workspaces = 30,
                .workspaceSkew = 1.2,
                .singleVmWorkspaces = {singleVmWorkspace},
                .changes = {{.at = overloadAt,
                             .duration = loadDuration,
                             .factor = factors.greedy,
                             .workspace = greedyWorkspace},
                            {.at = overloadAt,
                             .duration = loadDuration,
                             .factor = factors.singleVm,
                             .workspace = singleVmWorkspace}},
                .seed = seed};
    }

    static fleet_plan planOf(int vms, const load_plan &load)
    {
        fleet_plan plan {.dataCentres = {"a", "b", "c", "d"},
                         .vms = vms,
                         .services
                         = {{.name = "model",
                             .targets = 20,
                             .parameters = engine_parameters {.step = absl::Microseconds(3700),
                                                              .promptTokensPerMs = 63.9,
                                                              .tokensPerEvent = 6,
                                                              .memoryTokens = 576723},
                             .maxConnections = 760}},
                         .workspaces = load.workspaceNames(),
                         .tokensPerSecond = 630000.0,
                         .seed = load.seed};
        for (const class_plan &kind : load.classes)
            plan.routes.push_back(kind.toRoute());
        return plan;
    }

    std::vector<share_violation> violations()
    {
        return invariants.shares().violations(callers.startedAt() + overloadAt,
                                              callers.startedAt() + loadDuration);
    }

    event_queue events;
    invariant_checker invariants;
    emulated_fleet fleet;
    caller_population callers;
};

} // namespace

TEST_CASE("a workspace that connects to one VM is not starved by one that connects to all",
          "[shares]")
{
    const int vms = GENERATE(6, 24, 72);
    const std::uint64_t seed = GENERATE(1U, 2U);
    overloaded_fleet fleet(vms, seed, {});
    INFO(vms << " VMs, seed " << seed);
    for (const share_violation &violation : fleet.violations())
        FAIL_CHECK(toText(violation));
}

TEST_CASE("a workspace within its share is not starved by one that asks for many times its own",
          "[shares]")
{
    constexpr int vms = 72;
    const std::uint64_t seed = GENERATE(1U, 3U, 6U);
    overloaded_fleet fleet(vms, seed, {.greedy = 25.0, .singleVm = 2.0});
    INFO("seed " << seed);
    for (const share_violation &violation : fleet.violations())
        FAIL_CHECK(toText(violation));
}
