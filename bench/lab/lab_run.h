#pragma once

#include "lab/experiment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Results of one class of requests. */
struct class_result
{
    std::string name;
    service_sum sum;
};

/** State of a run, sampled once per second. */
struct lab_sample
{
    /** Time since the start of the load. */
    double seconds = 0.0;
    /** Number of running and queued requests at all targets. */
    std::size_t load = 0;
    /** Earned fraction of the attainable worth of the requests sent within this second. */
    double share = 1.0;
    std::int64_t refused = 0;
};

/** Result of one run. */
struct lab_result
{
    std::string variant;
    std::uint64_t seed = 0;
    service_sum total;
    /** Weighted sum of the shares; see worth_weights. */
    double worth = 0.0;
    double worstWorkspaces = 0.0;
    double worstWindows = 0.0;
    double worstClass = 0.0;
    std::vector<class_result> classes;
    std::vector<double> workspaceShares;
    std::vector<lab_sample> timeline;
    std::int64_t promptTokens = 0;
    std::int64_t repeatedTokens = 0;
    std::vector<std::string> violations;
};

/** Runs an experiment with one policy variant and one seed. */
lab_result runOnce(const lab_experiment &experiment, const policy_variant &variant,
                   std::uint64_t seed);

/**
 * Runs all variants with all seeds, on as many threads as given; returns the results in the order
 * of variants, then seeds.
 */
std::vector<lab_result> runAll(const lab_experiment &experiment, int jobs);

} // namespace quetzal::bench
