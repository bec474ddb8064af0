#include "lab/lab_run.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace quetzal::bench {

namespace {

/** Time from the start of the processes to the start of the load. */
constexpr absl::Duration warmUpDuration = absl::Seconds(10);
/** Time after the load in which all requests end. */
constexpr absl::Duration settleDuration = absl::Seconds(20);
/** Length of the windows whose lowest shares count in the worth. */
constexpr absl::Duration windowLength = absl::Seconds(4);

invariant_limits limitsOf(const fleet_plan &plan)
{
    invariant_limits limits {.retryRatio = plan.limits.retries.ratio,
                             .retryAllowance = plan.limits.retries.allowance};
    for (const service_plan &service : plan.services)
        limits.coldRequests[service.name]
            = service.cold.requestsPerSecond * plan.limits.coldFactor + plan.limits.coldAllowance;
    return limits;
}

fleet_plan planOf(const lab_experiment &experiment, const policy_variant &variant,
                  std::uint64_t seed)
{
    fleet_plan plan = experiment.fleet;
    plan.weights = variant.weights;
    plan.backlog = variant.backlog;
    plan.capacity = variant.capacity;
    plan.hasExchange = variant.hasExchange;
    plan.digestInterval = variant.digestInterval;
    plan.lostDigestFraction = variant.lostDigestFraction;
    plan.seed = seed;
    return plan;
}

std::size_t loadOf(emulated_fleet &fleet)
{
    std::size_t sum = 0;
    for (std::size_t index = 0; index < fleet.targetCount(); ++index)
        sum += fleet.target(index).load();
    return sum;
}

} // namespace

lab_result runOnce(const lab_experiment &experiment, const policy_variant &variant,
                   std::uint64_t seed)
{
    event_queue events(absl::UnixEpoch() + absl::Hours(1));
    invariant_checker invariants(limitsOf(experiment.fleet));
    emulated_fleet fleet(events, invariants, planOf(experiment, variant, seed));
    load_plan load = experiment.load;
    load.seed = seed;
    caller_population callers(events, fleet, invariants, load);
    events.runUntil(events.now() + warmUpDuration);
    callers.start(experiment.duration);
    scheduleFaults(experiment.faults, fleet, callers);

    lab_result result {.variant = variant.name, .seed = seed};
    const absl::Time start = events.now();
    const absl::Time end = start + experiment.duration;
    while (events.now() < end) {
        events.runUntil(events.now() + absl::Seconds(1));
        result.timeline.push_back(
            {.seconds = absl::ToDoubleSeconds(events.now() - start), .load = loadOf(fleet)});
    }
    events.runUntil(end + settleDuration);

    const service_statistics &statistics = callers.statistics();
    for (lab_sample &sample : result.timeline) {
        const absl::Time second = start + absl::Seconds(sample.seconds);
        const service_sum sum = statistics.ofWindow(second - absl::Seconds(1), second);
        sample.share = sum.share();
        sample.refused = sum.refused;
    }
    result.total = statistics.total();
    const auto workspaces = static_cast<std::size_t>(load.workspaces);
    result.worstWorkspaces = statistics.worstWorkspacesShare(workspaces);
    result.worstWindows = statistics.worstWindowsShare(start, end, windowLength);
    result.worstClass = statistics.worstClassShare(load.classes.size());
    const worth_weights &worthWeights = experiment.worthWeights;
    result.worth = worthWeights.whole * result.total.share()
        + worthWeights.worstWorkspaces * result.worstWorkspaces
        + worthWeights.worstWindows * result.worstWindows
        + worthWeights.worstClass * result.worstClass;
    for (std::size_t index = 0; index < load.classes.size(); ++index)
        result.classes.push_back(
            {.name = load.classes[index].name, .sum = statistics.ofClass(index)});
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace)
        result.workspaceShares.push_back(statistics.ofWorkspace(workspace).share());
    result.promptTokens = invariants.promptTokens();
    result.repeatedTokens = invariants.repeatedTokens();
    result.violations = invariants.violations();
    return result;
}

std::vector<lab_result> runAll(const lab_experiment &experiment, int jobs)
{
    const std::size_t seeds = experiment.seeds.size();
    std::vector<lab_result> results(experiment.variants.size() * seeds);
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < results.size(); index = next++)
            results[index] = runOnce(experiment, experiment.variants[index / seeds],
                                     experiment.seeds[index % seeds]);
    };
    std::vector<std::jthread> threads;
    for (int job = 0; job < std::max(jobs, 1); ++job)
        threads.emplace_back(work);
    threads.clear();
    return results;
}

} // namespace quetzal::bench
