#pragma once

#include "directory/target/target_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** The settings of one edge process. */
struct edge_settings
{
    /** The name of the VM, which is the same after a restart. */
    std::string vm;
    std::string dataCentre;
    network_address callers;
    /** Where the balancer asks whether the process takes connections. */
    network_address readiness;
    /** Ports that are free for traffic between edge processes. */
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    /** The key-value service that holds configuration, targets and members. */
    network_address store;
    /** How often a target renews its record. */
    absl::Duration targetHeartbeat = absl::Seconds(1);
    /** From SIGTERM to SIGKILL. */
    absl::Duration stopGrace = absl::Seconds(8);
    /** Repeated sends that the whole fleet may make to a service within a window. */
    absl::Duration retryWindow = absl::Seconds(10);
    double retryRatio = 0.0;
    double retryAllowance = 0.0;
    /** Requests a second to a cold target over what it bears: a factor, and requests on top. */
    double coldFactor = 1.0;
    double coldAllowance = 0.0;
    int memoryMegabytes = 0;
    int fileDescriptors = 0;

    bool operator==(const edge_settings &) const = default;
};

/** One fault of the settings, with the path of the field. */
struct settings_fault
{
    std::string field;
    std::string message;

    bool operator==(const settings_fault &) const = default;
};

/** Settings that were read, or why they can't be used. */
struct edge_settings_reading
{
    edge_settings settings;
    std::vector<settings_fault> faults;
};

} // namespace quetzal
