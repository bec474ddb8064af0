#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <string>

namespace quetzal::standins {

/** Simulates the platform's VM list, whose changes become visible after a lag. */
class vm_list_model
{
public:
    /** The initial list is visible at once. */
    vm_list_model(nlohmann::json vms, absl::Duration lag, absl::Time now);

    /** Replaces the list; the change becomes visible after the lag. */
    void replace(nlohmann::json vms, absl::Time now);
    /** Changes the state of one VM after the lag; returns false if the VM is not listed. */
    bool setState(const std::string &id, const std::string &state, absl::Time now);
    /** Changes the lag, also for changes that are not yet visible. */
    void setLag(absl::Duration lag) { m_lag = lag; }

    /** Returns the list that is visible at this time. */
    nlohmann::json visibleVms(absl::Time now);

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
