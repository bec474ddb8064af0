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

/** One way of deciding that an experiment compares. */
struct policy_variant
{
    std::string name;
    choice_weights weights;
    backlog_limits backlog;
    bool hasExchange = true;
    absl::Duration digestInterval = absl::Milliseconds(100);
    double lostDigestFraction = 0.0;
};

/** How much each view counts in the worth of a run. */
struct worth_weights
{
    double whole = 0.45;
    double worstWorkspaces = 0.3;
    double worstWindows = 0.15;
    double worstClass = 0.1;
};

/** What is run: a deployment under a load and faults, in several ways and with several seeds. */
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

/** An experiment, or the faults of its file. */
struct experiment_reading
{
    std::optional<lab_experiment> experiment;
    std::vector<json_fault> faults;
};

/** Reads an experiment file (JSON with comments). */
experiment_reading readExperiment(std::string_view text);

} // namespace quetzal::bench
