#pragma once

#include "fairness/fairness_simulation.h"
#include "fairness/workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** The estimate rules that the benchmark compares. */
enum class estimate_rule_kind
{
    NoEstimate,
    Hint,
    CorrectedHint,
    Mean,
    /** cost_estimator with streamed weight 0: streamed units only raise an estimate below them. */
    Weighted,
    /** cost_estimator with its default streamed weight: streamed units replace part of it. */
    WeightedStreamed,
    /** The hint, with hints equal to the costs, so that the fair queue is exact. */
    TrueCost,
};

/** The policies that the benchmark compares. */
enum class policy_kind
{
    Fair,
    ArrivalOrder,
    RouterRoundRobin,
};

/** The parameters of one run. */
struct fairness_case
{
    std::string label;
    simulation_options options;
    policy_kind policy = policy_kind::Fair;
    estimate_rule_kind rule = estimate_rule_kind::WeightedStreamed;
    int targetsPerShard = 18;
    /** True if the messages from shards to homes are lost for 30 seconds. */
    bool partitioned = false;
    /**
     * True if each shard assumes, until the next exchange, that the other shards charge at the same
     * rate; see fair_order::setCapacityRatio().
     */
    bool usesCapacityRatio = true;
};

/** The result of one run, as a row of the report. */
struct fairness_row
{
    std::string service;
    std::string label;
    simulation_result result;
};

/** Simulates one case and returns its measurements. */
simulation_result run(const fairness_case &item);
/** Returns a case of the fair policy with all targets of the service in one shard. */
fairness_case oneShardCase(const workload &load, std::string label, std::uint64_t seed,
                           absl::Duration duration);
/** Returns a case of the fair policy with shards of the size of the largest data centre. */
fairness_case shardedCase(const workload &load, std::string label, std::uint64_t seed,
                          absl::Duration duration);
/**
 * Adds to a case: two losses of an owner, two losses of a home, one partition, and a workspace with
 * misleading hints.
 */
void addFaults(fairness_case &item);
/** Returns the baselines, rules, shard sizes and faults for the services of both deployments. */
std::vector<fairness_case> fairnessCases(std::uint64_t seed, absl::Duration duration);
/** Returns the rows as a table of text. */
std::string toTable(const std::vector<fairness_row> &rows);
/** Returns the rows as JSON. */
std::string toJson(const std::vector<fairness_row> &rows);

} // namespace quetzal::bench
