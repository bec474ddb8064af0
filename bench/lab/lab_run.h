#pragma once

#include "lab/experiment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** What one kind of requests got. */
struct class_result
{
    std::string name;
    service_sum sum;
};

/** One point of a run's course. */
struct lab_sample
{
    /** Since the beginning of the load. */
    double seconds = 0.0;
    /** Requests running and waiting at all targets. */
    std::size_t load = 0;
    /** The share of what was owed to requests sent within this second. */
    double share = 1.0;
    std::int64_t refused = 0;
};

/** What came of one run. */
struct lab_result
{
    std::string variant;
    std::uint64_t seed = 0;
    service_sum total;
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

/** Runs an experiment in one way with one seed. */
lab_result runOnce(const lab_experiment &experiment, const policy_variant &variant,
                   std::uint64_t seed);

/** Runs all ways with all seeds, so many at a time; results in the order of ways, then seeds. */
std::vector<lab_result> runAll(const lab_experiment &experiment, int jobs);

} // namespace quetzal::bench
