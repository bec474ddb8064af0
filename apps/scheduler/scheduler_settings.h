#pragma once

#include "foundation/json/json_reader.h"
#include "transport/link/message_network.h"

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The settings file of quetzal-scheduler. */
struct scheduler_settings
{
    std::string vm;
    std::string dataCentre;
    std::string environment;
    /** Address on which routers and other schedulers connect. */
    endpoint listen;
    /** Address on which GET /v1/status, /healthz and /metrics are served. */
    endpoint statusListen;
    endpoint store;
    endpoint vmList;
    std::string logLevel;

    /** Returns the environment's key prefix in the store. */
    std::string keyPrefix() const { return "/quetzal/" + environment; }
};

/** Validated settings, or the faults of the settings file. */
struct scheduler_settings_read_result
{
    scheduler_settings settings;
    std::vector<json_fault> faults;
};

/** Reads and validates the text of a settings file. */
scheduler_settings_read_result readSchedulerSettings(std::string_view text);

} // namespace quetzal
