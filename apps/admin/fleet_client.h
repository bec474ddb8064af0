#pragma once

#include "apps/admin/admin_settings.h"
#include "configuration/administration/fleet_report.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** Fetches the status of an environment's schedulers over HTTP. Thread-safe. */
class fleet_client
{
public:
    explicit fleet_client(const admin_settings &settings);

    /** Returns the status of each VM, without a value for a VM that did not answer within 1 s. */
    fleet_statuses fetch(const std::string &environment) const;

private:
    std::map<std::string, std::vector<scheduler_address>> m_schedulers;
};

} // namespace quetzal
