#include "standins/vmlist/vm_list_model.h"

#include <utility>

namespace quetzal::standins {

vm_list_model::vm_list_model(nlohmann::json vms, absl::Duration lag, absl::Time now)
    : m_lag(lag)
    , m_versions {{now, std::move(vms)}}
{
}

void vm_list_model::replace(nlohmann::json vms, absl::Time now)
{
    m_versions.push_back({now, std::move(vms)});
}

bool vm_list_model::setState(const std::string &id, const std::string &state, absl::Time now)
{
    nlohmann::json vms = m_versions.back().vms;
    for (nlohmann::json &vm : vms) {
        if (vm.value("id", "") != id)
            continue;
        vm["state"] = state;
        replace(std::move(vms), now);
        return true;
    }
    return false;
}

nlohmann::json vm_list_model::visibleVms(absl::Time now)
{
    while (m_versions.size() > 1 && m_versions[1].changed + m_lag <= now)
        m_versions.pop_front();
    return m_versions.front().vms;
}

} // namespace quetzal::standins
