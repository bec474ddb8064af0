#pragma once

#include "fairness/fairness_simulation.h"
#include "fairness/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** The estimate rules that the bench compares. */
enum class estimate_rule_kind
{
    NoEstimate,
    Hint,
    CorrectedHint,
    Mean,
    /** The project's estimator with all of the estimate until the end. */
    Weighted,
    /** The project's estimator as it is: streamed units replace a part of the estimate. */
    WeightedStreamed,
    /** The hint, with hints that equal the costs: the exact queue. */
    TrueCost,
};

/** The policies that the bench compares. */
enum class policy_kind
{
    Fair,
    ArrivalOrder,
    RouterRoundRobin,
};

/** One run. */
struct fairness_case
{
    std::string label;
    simulation_options options;
    policy_kind policy = policy_kind::Fair;
    estimate_rule_kind rule = estimate_rule_kind::WeightedStreamed;
    int targetsPerShard = 18;
    bool partitioned = false;
    /** Whether shards take the others to charge alike until the next exchange. */
    bool usesCapacityRatio = true;
};

/** One run with its measures. */
struct fairness_row
{
    std::string service;
    std::string label;
    simulation_result result;
};

/** Runs one case. */
simulation_result run(const fairness_case &item);
/** A case of the project's policy with every target of the service in one shard. */
fairness_case oneShardCase(const workload &load, std::string label, std::uint64_t seed,
                           absl::Duration duration);
/** The same with a shard for each data centre. */
fairness_case shardedCase(const workload &load, std::string label, std::uint64_t seed,
                          absl::Duration duration);
/** Adds lost owners, lost homes and a partition, two of them twice, and misleading hints. */
void addFaults(fairness_case &item);
/** The baselines, rules, shard sizes and faults for every service of both deployments. */
std::vector<fairness_case> fairnessCases(std::uint64_t seed, absl::Duration duration);
/** The rows as a table for people. */
std::string toTable(const std::vector<fairness_row> &rows);
/** The rows as JSON. */
std::string toJson(const std::vector<fairness_row> &rows);

} // namespace quetzal::bench
