#include "fairness/fairness_report.h"

#include "fairness/baseline_policies.h"
#include "fairness/estimate_rules.h"
#include "fairness/fair_policy.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace quetzal::bench {

namespace {

constexpr int routerCount = 6;
constexpr double largestRequest = 8192.0;
const absl::Duration firstFault = absl::Minutes(4);
const absl::Duration secondFault = absl::Minutes(6);
const absl::Duration partitionLength = absl::Seconds(30);

cost_estimator_options estimatorOptions(double streamedWeight, bool hintIsCost = false)
{
    return {.largestRequest = largestRequest,
            .streamedWeight = streamedWeight,
            .hintIsCost = hintIsCost};
}

template <typename policy_type>
simulation_result simulate(const fairness_case &item, policy_type policy)
{
    return fairness_simulation<policy_type>(item.options, policy).run();
}

template <estimate_rule rule_type>
simulation_result simulateFair(const fairness_case &item, const rule_type &rule)
{
    const int shards
        = (item.options.load.targets + item.targetsPerShard - 1) / item.targetsPerShard;
    exchange_options options {.usesCapacityRatio = item.usesCapacityRatio};
    if (item.partitioned) {
        options.partitionStart = absl::UnixEpoch() + secondFault;
        options.partitionEnd = options.partitionStart + partitionLength;
    }
    return simulate(item, fair_policy<rule_type>(item.options.load, shards, rule, options));
}

simulation_result runFair(const fairness_case &item)
{
    switch (item.rule) {
    case estimate_rule_kind::NoEstimate:
        return simulateFair(item, no_estimate_rule());
    case estimate_rule_kind::Hint:
    case estimate_rule_kind::TrueCost:
        return simulateFair(item, hint_rule());
    case estimate_rule_kind::CorrectedHint:
        return simulateFair(item, corrected_hint_rule());
    case estimate_rule_kind::Mean:
        return simulateFair(item, mean_rule(estimatorOptions(0.0)));
    case estimate_rule_kind::Weighted:
        return simulateFair(item, cost_estimator(estimatorOptions(0.0)));
    case estimate_rule_kind::WeightedStreamed:
        break;
    }
    const cost_estimator_options standard;
    return simulateFair(
        item,
        cost_estimator(estimatorOptions(standard.streamedWeight, item.options.load.countsAnswers)));
}

/** Collects cases with the same seed and duration. */
class case_list
{
public:
    case_list(std::uint64_t seed, absl::Duration duration)
        : m_seed(seed)
        , m_duration(duration)
    {
    }

    fairness_case &add(const workload &load, std::string label)
    {
        m_cases.push_back(oneShardCase(load, std::move(label), m_seed, m_duration));
        return m_cases.back();
    }

    fairness_case &addSharded(const workload &load, std::string label)
    {
        m_cases.push_back(shardedCase(load, std::move(label), m_seed, m_duration));
        return m_cases.back();
    }

    std::vector<fairness_case> take() { return std::move(m_cases); }

private:
    std::uint64_t m_seed;
    absl::Duration m_duration;
    std::vector<fairness_case> m_cases;
};

void addBaselines(case_list &cases, workload load)
{
    cases.add(load, "round robin at each router").policy = policy_kind::RouterRoundRobin;
    cases.add(load, "one queue in arrival order").policy = policy_kind::ArrivalOrder;
    cases.add(load, "charge at the end").rule = estimate_rule_kind::NoEstimate;
    load.hintSigma = 0.0;
    cases.add(load, "exact queue, true costs").rule = estimate_rule_kind::TrueCost;
}

void addRules(case_list &cases, const workload &load, const std::string &hints)
{
    cases.add(load, "hint, " + hints).rule = estimate_rule_kind::Hint;
    cases.add(load, "hint x bias, " + hints).rule = estimate_rule_kind::CorrectedHint;
    cases.add(load, "mean, " + hints).rule = estimate_rule_kind::Mean;
    cases.add(load, "weighed, " + hints).rule = estimate_rule_kind::Weighted;
    cases.add(load, "weighed + streamed, " + hints).rule = estimate_rule_kind::WeightedStreamed;
}

void addHints(case_list &cases, workload load)
{
    load.hintSigma = 0.0;
    addRules(cases, load, "hints right");
    load.hintSigma = 0.5;
    addRules(cases, load, "hints sigma 0.5");
    load.hintSigma = 1.5;
    addRules(cases, load, "hints sigma 1.5");
    load.hintSigma = 0.5;
    load.misleadingWorkspace = 0;
    addRules(cases, load, "one workspace 10x low");
}

void addShards(case_list &cases, const workload &load)
{
    for (const int targets : {1, 4, 8})
        for (const int millis : {50, 500, 5000}) {
            if (targets >= load.targets)
                continue;
            fairness_case &item = cases.add(
                load, absl::StrFormat("%d targets a shard, exchange %d ms", targets, millis));
            item.targetsPerShard = targets;
            item.options.exchangePeriod = absl::Milliseconds(millis);
        }
}

void addFaultCases(case_list &cases, const workload &load)
{
    cases.addSharded(load, "shard a data centre").partitioned = false;
    cases.addSharded(load, "the same without anticipation").usesCapacityRatio = false;
    cases.addSharded(load, "fault: owner lost").options.ownerLosses = {firstFault};
    cases.addSharded(load, "fault: home lost").options.homeLosses = {firstFault};
    cases.addSharded(load, "fault: partition of 30 s").partitioned = true;
    addFaults(cases.addSharded(load, "faults: all, owner and home twice"));
    if (!load.countsAnswers)
        return;
    workload withoutFailures = load;
    withoutFailures.failureRate = 0.0;
    cases.add(withoutFailures, "one shard, every request answered");
    cases.addSharded(withoutFailures, "shard a data centre, every one answered");
}

} // namespace

simulation_result run(const fairness_case &item)
{
    switch (item.policy) {
    case policy_kind::ArrivalOrder:
        return simulate(item, arrival_order_policy(item.options.load, item.options.seed));
    case policy_kind::RouterRoundRobin:
        return simulate(item, router_round_robin_policy(item.options.load, routerCount));
    case policy_kind::Fair:
        break;
    }
    return runFair(item);
}

fairness_case oneShardCase(const workload &load, std::string label, std::uint64_t seed,
                           absl::Duration duration)
{
    fairness_case item;
    item.label = std::move(label);
    item.options.load = load;
    item.options.duration = duration;
    item.options.seed = seed;
    item.targetsPerShard = load.targets;
    return item;
}

fairness_case shardedCase(const workload &load, std::string label, std::uint64_t seed,
                          absl::Duration duration)
{
    fairness_case item = oneShardCase(load, std::move(label), seed, duration);
    item.targetsPerShard = load.targetsPerShard;
    return item;
}

void addFaults(fairness_case &item)
{
    item.partitioned = true;
    item.options.ownerLosses = {firstFault, firstFault + absl::Seconds(10)};
    item.options.homeLosses = {firstFault, firstFault + absl::Seconds(12)};
    item.options.load.misleadingWorkspace = 0;
}

std::vector<fairness_case> fairnessCases(std::uint64_t seed, absl::Duration duration)
{
    case_list cases(seed, duration);
    for (const workload &load : {rosterLlm(), redactor(), rosterApp(), registo()}) {
        addBaselines(cases, load);
        if (load.countsAnswers)
            cases.add(load, "fair").rule = estimate_rule_kind::WeightedStreamed;
        else
            addHints(cases, load);
        addShards(cases, load);
        addFaultCases(cases, load);
    }
    return cases.take();
}

std::string toTable(const std::vector<fairness_row> &rows)
{
    std::string text
        = absl::StrFormat("%-11s %-40s %10s %9s %9s %8s %9s %9s\n", "service", "case", "dispatched",
                          "streamed", "completed", "busy %", "msgs/s", "lines/s");
    for (const fairness_row &row : rows) {
        const simulation_result &result = row.result;
        absl::StrAppendFormat(&text, "%-11s %-40s %10.2f %9.2f %9.2f %8.2f %9.1f %9.1f\n",
                              row.service, row.label, result.dispatchedGap, result.streamedGap,
                              result.completedGap, 100.0 * result.utilisation,
                              result.messagesPerSecond, result.linesPerSecond);
    }
    return text;
}

std::string toJson(const std::vector<fairness_row> &rows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const fairness_row &row : rows)
        list.push_back({{"service", row.service},
                        {"case", row.label},
                        {"dispatchedGap", row.result.dispatchedGap},
                        {"streamedGap", row.result.streamedGap},
                        {"completedGap", row.result.completedGap},
                        {"utilisation", row.result.utilisation},
                        {"requests", row.result.requests},
                        {"ledgerMessagesPerSecond", row.result.messagesPerSecond},
                        {"ledgerLinesPerSecond", row.result.linesPerSecond}});
    return list.dump(2);
}

} // namespace quetzal::bench
