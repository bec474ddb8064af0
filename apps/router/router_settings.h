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
    /** Where callers connect. */
    endpoint listen;
    /** Where /healthz, /v1/status and /metrics are served. */
    endpoint statusListen;
    endpoint vmList;
    std::string logLevel;
    /** File for spans; empty for none. */
    std::string traceFile;
    double traceSampleRatio = 1.0;
    /** Threads that serve callers; each open connection occupies one. */
    int threads = 256;
    int maxWaitingRequests = 4000;
    std::int64_t maxBodyBytes = 8 * 1024 * 1024;
    /** Deadline of a request whose caller gives none. */
    absl::Duration defaultDeadline = absl::Seconds(120);
    /** Longest silence of a target before its first byte. */
    absl::Duration firstByteTimeout = absl::Seconds(20);
    /** Longest silence of a target within a stream. */
    absl::Duration idleTimeout = absl::Seconds(5);
    /** Longest time for running requests to finish after SIGTERM. */
    absl::Duration stopTimeout = absl::Seconds(120);
};

/** Checked settings or their faults. */
struct router_settings_reading
{
    router_settings settings;
    std::vector<json_fault> faults;
};

/** Reads and checks the whole text of a settings file. */
router_settings_reading readRouterSettings(std::string_view text);

} // namespace quetzal
