#pragma once

#include "configuration/administration/administration_api.h"
#include "transport/link/message_network.h"

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** Where the scheduler of one VM serves GET /v1/status. */
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

    /** Store key prefix of the environment. */
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
    int requestThreads = 8;
    std::size_t maxBodyBytes = 0;
    std::string logLevel;

    /** The part that the API's logic needs. */
    administration_options apiOptions() const;
};

/** Checked settings or their faults. */
struct admin_settings_reading
{
    admin_settings settings;
    std::vector<json_fault> faults;
};

/** Reads and checks the whole text of a settings file. */
admin_settings_reading readAdminSettings(std::string_view text);

} // namespace quetzal
