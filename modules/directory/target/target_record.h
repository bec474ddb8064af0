#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace quetzal {

/** An IPv4 address and a port. */
struct network_address
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const network_address &) const = default;
    auto operator<=>(const network_address &) const = default;
};

/** The record that a target publishes in the list of targets. */
struct target_record
{
    std::string id;
    std::string service;
    network_address address;
    std::string dataCentre;
    /** The number of requests that the target processes at once. */
    int slots = 1;
    /** True if the target has announced that it will stop. */
    bool isDraining = false;
    /** How long the target is cold and can serve only few requests, from the time of the record. */
    absl::Duration coldDuration;
    /** The start time in Unix milliseconds, which distinguishes restarts under the same id. */
    std::int64_t startedAtMs = 0;

    bool operator==(const target_record &) const = default;
};

} // namespace quetzal
