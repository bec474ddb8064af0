#include "emulator/emulator.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr std::size_t singleVmWorkspace = 0;
constexpr absl::Duration warmUp = absl::Seconds(5);
constexpr absl::Duration overloadAt = absl::Seconds(2);
constexpr absl::Duration overloadDuration = absl::Seconds(8);
constexpr absl::Duration recoveryTime = absl::Seconds(3);
constexpr absl::Duration loadDuration = absl::Seconds(20);

/** A fleet in which the callers of one workspace ask one VM for more than its processor can do. */
struct fleet_with_busy_vm
{
    explicit fleet_with_busy_vm(std::uint64_t seed)
        : events(absl::UnixEpoch() + absl::Hours(1))
        , invariants(invariant_limits {})
        , fleet(events, invariants, planOf(seed))
        , callers(events, fleet, invariants, loadOf(seed))
    {
        events.runUntil(events.now() + warmUp);
        callers.start(loadDuration);
        events.runUntil(events.now() + loadDuration + absl::Seconds(10));
    }

    static load_plan loadOf(std::uint64_t seed)
    {
        return {.classes = {{.name = "note",
                             .service = "model",
                             .perSecond = 50.0,
                             .sharedParts = {{.tokens = {.mean = 300.0}, .variantCount = 20}},
                             .ownTokens = {.mean = 100.0},
                             .outputTokens = {.mean = 60.0}}},
                .workspaces = 10,
                .workspaceSkew = 0.0,
                .singleVmWorkspaces = {singleVmWorkspace},
                .changes = {{.at = overloadAt,
                             .duration = overloadDuration,
                             .factor = 60.0,
                             .workspace = static_cast<int>(singleVmWorkspace)}},
                .seed = seed};
    }

    static fleet_plan planOf(std::uint64_t seed)
    {
        const load_plan load = loadOf(seed);
        fleet_plan plan {.vms = 24,
                         .services = {{.name = "model",
                                       .targets = 20,
                                       .parameters = engine_parameters {},
                                       .maxConnections = 2400}},
                         .workspaces = load.workspaceNames(),
                         .tokensPerSecond = 600000.0,
                         .processor = processor_parameters {.share = 0.12},
                         .seed = seed};
        for (const class_plan &kind : load.classes)
            plan.routes.push_back(kind.toRoute());
        return plan;
    }

    /** Sums the requests of a workspace that were sent in a span after the start of the load. */
    service_sum served(std::size_t workspace, absl::Duration from, absl::Duration to) const
    {
        return callers.statistics().sumIf([&](const service_record &record) {
            return record.workspace == workspace && record.sentAt >= callers.startedAt() + from
                && record.sentAt < callers.startedAt() + to;
        });
    }

    event_queue events;
    invariant_checker invariants;
    emulated_fleet fleet;
    caller_population callers;
};

} // namespace

TEST_CASE("a VM with more callers than its processor can serve takes its connections and recovers",
          "[saturation]")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    const fleet_with_busy_vm test(seed);
    INFO("seed " << seed);
    const service_sum overload
        = test.served(singleVmWorkspace, overloadAt, overloadAt + overloadDuration);
    const service_sum after = test.served(
        singleVmWorkspace, overloadAt + overloadDuration + recoveryTime, loadDuration);
    INFO("overload: " << overload.requests << " requests, " << overload.onTime << " on time, "
                      << overload.refused << " refused, " << overload.failed << " failed; "
                      << test.callers.unreadAttempts() << " not read in time");
    INFO("after: " << after.requests << " requests, " << after.onTime << " on time");

    CHECK(test.callers.unreadAttempts() * 20 < static_cast<std::size_t>(overload.requests));
    CHECK(overload.failed * 20 < overload.requests);
    CHECK(after.onTime * 20 > after.requests * 19);
    CHECK(test.invariants.violations().empty());
}
