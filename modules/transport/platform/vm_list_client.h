#pragma once

#include "targets/admission/target_admission.h"
#include "transport/link/message_network.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** An entry VM of the fleet, as described by the VM list. */
struct entry_vm
{
    std::string vm;
    std::string dataCentre;
    /** Listen address of the scheduler on this VM. */
    endpoint scheduler;
    bool isDraining = false;

    auto operator<=>(const entry_vm &) const = default;
};

/** The platform's list of VMs, both live and draining ones. */
struct vm_list
{
    std::vector<entry_vm> entries;
    std::vector<target_listing> targets;

    bool operator==(const vm_list &) const = default;
};

/** Parses the body of an answer to GET /v1/vms; returns nothing if it is not a VM list. */
std::optional<vm_list> readVmList(const std::string &body);

/** Fetches the VM list over HTTP. */
class vm_list_client
{
public:
    explicit vm_list_client(endpoint address);

    /** Returns the list, or nothing if the platform did not answer within one second. */
    std::optional<vm_list> fetch() const;

private:
    endpoint m_address;
};

} // namespace quetzal
