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
    /** The name of the VM, which does not change with a restart. */
    std::string vm;
    std::string dataCentre;
    /** The address on which callers connect. */
    network_address callers;
    /** The address on which the load balancer checks whether the process accepts connections. */
    network_address readiness;
    /** The first port that is reserved for traffic between edge processes. */
    std::uint16_t firstInternalPort = 0;
    /** The last reserved port. */
    std::uint16_t lastInternalPort = 0;
    /** The key-value service that holds configuration, targets and members. */
    network_address store;
    /** How often a target renews its record. */
    absl::Duration targetHeartbeat = absl::Seconds(1);
    /** The time from SIGTERM to SIGKILL. */
    absl::Duration stopGrace = absl::Seconds(8);
    /** The window of the retry budget, which all routers of the fleet share. */
    absl::Duration retryWindow = absl::Seconds(10);
    /** Retries per request of a service within the window. */
    double retryRatio = 0.0;
    /** Additional retries to a service within the window, for the whole fleet. */
    double retryAllowance = 0.0;
    /** Factor applied to the requests per second that a cold target can serve. */
    double coldFactor = 1.0;
    /** Additional requests per second to a cold target. */
    double coldAllowance = 0.0;
    /** The cores that the process has. */
    double processorShare = 1.0;
    /** The rate of the VM's link in megabits a second; 0 if it is not known. */
    double linkMbps = 0.0;
    int memoryMegabytes = 0;
    int fileDescriptors = 0;

    bool operator==(const edge_settings &) const = default;
};

/** A fault in the settings, with the path of the field. */
struct settings_fault
{
    std::string field;
    std::string message;

    bool operator==(const settings_fault &) const = default;
};

/** The result of reading settings; they are unusable if there are faults. */
struct edge_settings_read_result
{
    edge_settings settings;
    std::vector<settings_fault> faults;
};

} // namespace quetzal
