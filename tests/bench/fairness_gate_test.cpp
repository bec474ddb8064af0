#include "fairness/fairness_report.h"
#include "fairness/service_gap.h"

#include <catch2/catch.hpp>

using namespace quetzal::bench;

namespace {

/** Required bounds on the gap, as multiples of the largest weighted request. */
constexpr double maxGapWithoutFault = 2.0;
constexpr double maxGapUnderFaults = 4.0;
/** Required utilisation of the slots. */
constexpr double minUtilisation = 0.98;
const absl::Duration simulatedDuration = absl::Minutes(10);

fairness_case oneShard(const workload &load, std::uint64_t seed = 1)
{
    return oneShardCase(load, "gate", seed, simulatedDuration);
}

fairness_case sharded(const workload &load, std::uint64_t seed = 1)
{
    return shardedCase(load, "gate", seed, simulatedDuration);
}

workload withHints(double sigma, int misleadingWorkspace)
{
    workload load = rosterLlm();
    load.hintSigma = sigma;
    load.misleadingWorkspace = misleadingWorkspace;
    return load;
}

workload withoutFailures(workload load)
{
    load.failureRate = 0.0;
    return load;
}

int shardCount(const workload &load)
{
    return load.targets / load.targetsPerShard;
}

} // namespace

SCENARIO("the gap is the largest difference of weighted service over all intervals")
{
    service_gap gap({1.0, 2.0});
    gap.add(0, 5.0);
    gap.add(1, 20.0);
    gap.add(0, 2.0);

    CHECK(gap.between(0, 1) == 10.0);
    CHECK(gap.between(1, 0) == 10.0);
    CHECK(gap.maxGap({5.0, 20.0}) == 1.0);
    CHECK(gap.served(1) == 20.0);
}

SCENARIO("the gap in streamed service of roster-llm stays within its bound without faults")
{
    const std::vector<workload> hints {withHints(0.0, -1), withHints(0.5, -1), withHints(1.5, -1),
                                       withHints(0.5, 0)};
    for (const workload &load : hints)
        for (const std::uint64_t seed : {1, 2}) {
            CAPTURE(load.hintSigma, load.misleadingWorkspace, seed);
            const simulation_result singleShard = run(oneShard(load, seed));
            const simulation_result multiShard = run(sharded(load, seed));
            CHECK(singleShard.streamedGap <= maxGapWithoutFault);
            CHECK(multiShard.streamedGap <= maxGapWithoutFault);
            CHECK(singleShard.utilisation >= minUtilisation);
            CHECK(multiShard.utilisation >= minUtilisation);
        }
}

SCENARIO("the gap in streamed service of roster-llm stays within its bound under faults")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        fairness_case item = sharded(rosterLlm(), seed);
        addFaults(item);
        CAPTURE(seed);
        const simulation_result result = run(item);
        CHECK(result.streamedGap <= maxGapUnderFaults);
        CHECK(result.utilisation >= minUtilisation);
    }
}

SCENARIO("the gap in completed service is at most that of one exact queue with true costs")
{
    workload exact = rosterLlm();
    exact.hintSigma = 0.0;
    fairness_case item = oneShard(exact);
    item.rule = estimate_rule_kind::TrueCost;
    CHECK(run(oneShard(rosterLlm())).completedGap <= run(item).completedGap);
}

SCENARIO("the gap in answered requests of one shard stays within its bounds")
{
    for (const workload &load : {redactor(), rosterApp(), registo()}) {
        CAPTURE(load.name);
        CHECK(run(oneShard(withoutFailures(load))).dispatchedGap <= maxGapWithoutFault);
        CHECK(run(oneShard(load)).dispatchedGap <= maxGapUnderFaults);
    }
}

SCENARIO("the measured gap distinguishes the fair order from the baselines")
{
    fairness_case item = oneShard(rosterLlm());
    item.rule = estimate_rule_kind::NoEstimate;
    CHECK(run(item).streamedGap > maxGapUnderFaults);
    item.policy = policy_kind::ArrivalOrder;
    CHECK(run(item).streamedGap > maxGapUnderFaults);
    item.policy = policy_kind::RouterRoundRobin;
    CHECK(run(item).streamedGap > maxGapUnderFaults);
}

SCENARIO("shards overshoot unless they apply the capacity ratio")
{
    constexpr double roundingPerShard = 2.0;
    constexpr double floatingError = 1e-6;
    for (const workload &load : {withoutFailures(rosterApp()), withoutFailures(registo())}) {
        const double shards = shardCount(load);
        const double bound = roundingPerShard * shards + floatingError;
        fairness_case item = sharded(load);
        CAPTURE(load.name);
        CHECK(run(item).dispatchedGap <= bound);
        item.usesCapacityRatio = false;
        CHECK(run(item).dispatchedGap > bound);
    }
}

SCENARIO("the same seed gives the same results")
{
    const simulation_result first = run(sharded(redactor(), 7));
    const simulation_result second = run(sharded(redactor(), 7));
    CHECK(first.dispatchedGap == second.dispatchedGap);
    CHECK(first.completedGap == second.completedGap);
    CHECK(first.requests == second.requests);
}
