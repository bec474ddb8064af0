#pragma once

#include "foundation/json/json_reader.h"
#include "transport/link/message_network.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The settings file of quetzal-router. */
struct router_settings
{
    std::string vm;
    std::string dataCentre;
    std::string environment;
    /** Address on which callers connect. */
    endpoint listen;
    /** Address on which /healthz, /v1/status and /metrics are served. */
    endpoint statusListen;
    endpoint vmList;
    std::string logLevel;
    /** File that trace spans are appended to; empty to record none. */
    std::string traceFile;
    /** Fraction of the traces that is recorded, from 0 to 1. */
    double traceSampleRatio = 1.0;
    /** Number of threads that serve callers; each open connection occupies one. */
    int threads = 256;
    /** Maximum number of requests that wait for a grant. */
    int maxWaitingRequests = 4000;
    /** Maximum size of a request's body. */
    std::int64_t maxBodyBytes = 8 * 1024 * 1024;
    /** Time to the deadline of a request whose caller sends none. */
    absl::Duration defaultDeadline = absl::Seconds(120);
    /** Maximum time from sending a request to the first byte of the target's answer. */
    absl::Duration firstByteTimeout = absl::Seconds(20);
    /** Maximum time without data from a target within a stream. */
    absl::Duration idleTimeout = absl::Seconds(5);
    /** Maximum time for running requests to finish after SIGTERM. */
    absl::Duration stopTimeout = absl::Seconds(120);
};

/** Validated settings, or the faults of the settings file. */
struct router_settings_read_result
{
    router_settings settings;
    std::vector<json_fault> faults;
};

/** Reads and validates the text of a settings file. */
router_settings_read_result readRouterSettings(std::string_view text);

} // namespace quetzal
