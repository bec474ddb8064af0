#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <string>

namespace quetzal::standins {

/** The platform's VM list: a change becomes visible after the lag. */
class vm_list_model
{
public:
    /** The first list is visible at once. */
    vm_list_model(nlohmann::json vms, absl::Duration lag, absl::Time now);

    /** Replaces the list; visible after the lag. */
    void replace(nlohmann::json vms, absl::Time now);
    /** Changes the state of one VM, visible after the lag; false when the VM is not listed. */
    bool setState(const std::string &id, const std::string &state, absl::Time now);
    void setLag(absl::Duration lag) { m_lag = lag; }

    /** The list as callers see it. */
    nlohmann::json visible(absl::Time now);

private:
    struct version
    {
        absl::Time changed {};
        nlohmann::json vms;
    };

    absl::Duration m_lag {};
    std::deque<version> m_versions;
};

} // namespace quetzal::standins
