#pragma once

#include "targets/admission/target_admission.h"
#include "transport/link/message_network.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** An entry VM of the fleet as the VM list names it. */
struct entry_vm
{
    std::string vm;
    std::string dataCentre;
    endpoint scheduler;
    bool leaving = false;

    auto operator<=>(const entry_vm &) const = default;
};

/** The platform's list of live and leaving VMs. */
struct vm_list
{
    std::vector<entry_vm> entries;
    std::vector<target_listing> targets;

    bool operator==(const vm_list &) const = default;
};

/** Reads the body of GET /v1/vms; nothing when it is not such a list. */
std::optional<vm_list> readVmList(const std::string &body);

/** Fetches the VM list over HTTP. */
class vm_list_client
{
public:
    explicit vm_list_client(endpoint address);

    /** The list, or nothing when the platform did not answer within a second. */
    std::optional<vm_list> fetch() const;

private:
    endpoint m_address;
};

} // namespace quetzal
