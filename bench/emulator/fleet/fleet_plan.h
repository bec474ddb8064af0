#pragma once

#include "emulator/target/target_parameters.h"
#include "forwarding/node/forwarding_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace quetzal::bench {

/** One kind of targets. */
struct service_plan
{
    std::string name;
    /** Targets, spread over the data centres in turn. */
    int targets = 3;
    std::variant<engine_parameters, plain_parameters> parameters;
    cold_parameters cold;
    /** Connections that one target accepts from all routers together. */
    int maxConnections = 360;

    bool isModelEngine() const { return std::holds_alternative<engine_parameters>(parameters); }
};

/** The size and the figures of an emulated fleet. */
struct fleet_plan
{
    std::vector<std::string> dataCentres = {"a", "b", "c"};
    /** Routers, spread over the data centres in turn. */
    int vms = 6;
    std::vector<service_plan> services;
    std::vector<route> routes;
    /** API keys by workspace are the workspace's name with "key-" before it. */
    std::vector<std::string> workspaces;
    double tokensPerSecond = 0.0;
    fleet_limits limits;
    choice_weights weights;
    backlog_limits backlog;
    absl::Duration intraDataCentreDelay = absl::Microseconds(200);
    absl::Duration interDataCentreDelay = absl::Microseconds(1400);
    absl::Duration callerDelay = absl::Milliseconds(2);
    absl::Duration digestInterval = absl::Milliseconds(100);
    /** The part of the digests that are lost. */
    double lostDigestFraction = 0.0;
    /** False when routers tell each other nothing. */
    bool hasExchange = true;
    std::uint64_t seed = 1;
};

} // namespace quetzal::bench
