#pragma once

#include "apps/admin/admin_settings.h"
#include "configuration/administration/fleet_report.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** Asks the schedulers of an environment for their status over HTTP. Thread-safe. */
class fleet_client
{
public:
    explicit fleet_client(const admin_settings &settings);

    /** The status of each VM; nothing for a VM that did not answer within a second. */
    fleet_statuses fetch(const std::string &environment) const;

private:
    std::map<std::string, std::vector<scheduler_address>> m_schedulers;
};

} // namespace quetzal
