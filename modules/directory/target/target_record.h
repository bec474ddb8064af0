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

/** What a target says of itself in the list of targets. */
struct target_record
{
    std::string id;
    std::string service;
    network_address address;
    std::string dataCentre;
    /** Requests that it processes at once. */
    int slots = 1;
    /** True when it has announced that it will stop. */
    bool isDraining = false;
    /** How long it bears only a few requests, counted from the record. */
    absl::Duration coldDuration;
    /** When it was started, in Unix milliseconds; tells two lives under one id apart. */
    std::int64_t startedAtMs = 0;

    bool operator==(const target_record &) const = default;
};

} // namespace quetzal
