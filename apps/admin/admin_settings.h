#pragma once

#include "configuration/administration/administration_api.h"
#include "transport/link/message_network.h"

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The address on which the scheduler of one VM serves GET /v1/status. */
struct scheduler_address
{
    std::string vm;
    endpoint status;

    bool operator==(const scheduler_address &) const = default;
};

/** One environment of the administration API. */
struct admin_environment
{
    std::string name;
    std::vector<scheduler_address> schedulers;

    bool operator==(const admin_environment &) const = default;

    /** Returns the environment's key prefix in the store. */
    std::string keyPrefix() const { return "/quetzal/" + name; }
};

/** The settings file of quetzal-admin. */
struct admin_settings
{
    endpoint listen;
    endpoint store;
    std::vector<admin_environment> environments;
    std::string defaultEnvironment;
    std::string promotionSource;
    std::string promotionDestination;
    std::vector<operator_definition> operators;
    /** Maximum number of requests that are answered concurrently. */
    int requestThreads = 8;
    std::size_t maxBodyBytes = 0;
    std::string logLevel;

    /** Returns the options of administration_api. */
    administration_options apiOptions() const;
};

/** Validated settings, or the faults of the settings file. */
struct admin_settings_read_result
{
    admin_settings settings;
    std::vector<json_fault> faults;
};

/** Reads and validates the text of a settings file. */
admin_settings_read_result readAdminSettings(std::string_view text);

} // namespace quetzal
