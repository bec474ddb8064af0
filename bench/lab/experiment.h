#pragma once

#include "emulator/emulator.h"
#include "foundation/json/json_reader.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal::bench {

/** A variant of the policy parameters that an experiment compares with others. */
struct policy_variant
{
    std::string name;
    choice_weights weights;
    backlog_limits backlog;
    capacity_limits capacity;
    bool hasExchange = true;
    /** The interval between digests; nothing for the interval that the number of peers requires. */
    std::optional<absl::Duration> digestInterval;
    double lostDigestFraction = 0.0;
};

/** Weights of the shares that make up the worth of a run. */
struct worth_weights
{
    /** Weight of the share of all requests. */
    double whole = 0.45;
    double worstWorkspaces = 0.3;
    double worstWindows = 0.15;
    double worstClass = 0.1;
};

/** A deployment under a load and faults, run with several policy variants and seeds. */
struct lab_experiment
{
    std::string name;
    fleet_plan fleet;
    load_plan load;
    std::vector<fault> faults;
    std::vector<policy_variant> variants;
    std::vector<std::uint64_t> seeds;
    worth_weights worthWeights;
    absl::Duration duration = absl::Seconds(30);
};

/** Result of reading an experiment file: the experiment, or the faults of the file. */
struct experiment_parse_result
{
    std::optional<lab_experiment> experiment;
    std::vector<json_fault> faults;
};

/** Reads an experiment file (JSON with comments). */
experiment_parse_result readExperiment(std::string_view text);

} // namespace quetzal::bench
