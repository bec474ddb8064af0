#pragma once

#include "emulator/router/emulated_processor.h"
#include "emulator/target/target_parameters.h"
#include "forwarding/node/forwarding_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal::bench {

/** A service and its targets. */
struct service_plan
{
    std::string name;
    /** Number of targets, distributed over the data centres round-robin. */
    int targets = 3;
    std::variant<engine_parameters, plain_parameters> parameters;
    cold_parameters cold;
    /** Maximum number of connections that a target accepts from all routers together. */
    int maxConnections = 360;

    bool isModelEngine() const { return std::holds_alternative<engine_parameters>(parameters); }
};

/** Size and parameters of an emulated fleet. */
struct fleet_plan
{
    std::vector<std::string> dataCentres = {"a", "b", "c"};
    /** Number of routers, distributed over the data centres round-robin. */
    int vms = 6;
    std::vector<service_plan> services;
    std::vector<route> routes;
    /** Names of the workspaces; the API key of each is its name prefixed with "key-". */
    std::vector<std::string> workspaces;
    double tokensPerSecond = 0.0;
    fleet_limits limits;
    choice_weights weights;
    backlog_limits backlog;
    capacity_limits capacity;
    absl::Duration intraDataCentreDelay = absl::Microseconds(200);
    absl::Duration interDataCentreDelay = absl::Microseconds(1400);
    /** One-way network delay between callers and routers. */
    absl::Duration callerDelay = absl::Milliseconds(2);
    /** The interval between digests; nothing for the interval that the number of peers requires. */
    std::optional<absl::Duration> digestInterval;
    /** Fraction of the digests that are lost. */
    double lostDigestFraction = 0.0;
    /** The processor time that the events of each router take; nothing for none. */
    std::optional<processor_parameters> processor;
    /** Prompt parts under which model engines crash, unless they are the last of a prompt. */
    std::vector<std::uint64_t> fatalParts;
    /** Time after which an engine that crashed under such a part starts again. */
    absl::Duration fatalRestartDelay = absl::Seconds(4);
    /** True if routers exchange digests. */
    bool hasExchange = true;
    std::uint64_t seed = 1;
};

} // namespace quetzal::bench
