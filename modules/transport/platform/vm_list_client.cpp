#include "transport/platform/vm_list_client.h"

#include "foundation/json/json_reader.h"
#include "transport/http/http_call.h"

#include <utility>

namespace quetzal {

namespace {

constexpr int maxPort = 65535;

bool readDraining(json_reader &vm)
{
    const std::string state = vm.requiredString("state");
    if (state != "live" && state != "leaving")
        vm.addFault("state", "must be \"live\" or \"leaving\"");
    return state == "leaving";
}

int readPort(json_reader &vm, const std::string &name)
{
    return static_cast<int>(vm.requiredInteger(name, 1, maxPort));
}

entry_vm readEntry(json_reader &vm)
{
    const std::string ip = vm.requiredString("ip");
    return {.vm = vm.requiredString("id"),
            .dataCentre = vm.requiredString("dataCentre"),
            .scheduler = {.ip = ip, .port = readPort(vm, "schedulerPort")},
            .isDraining = readDraining(vm)};
}

target_listing readTarget(json_reader &vm)
{
    const endpoint address {.ip = vm.requiredString("ip"), .port = readPort(vm, "port")};
    return {.target = vm.requiredString("id"),
            .address = toText(address),
            .service = vm.requiredString("service"),
            .dataCentre = vm.requiredString("dataCentre"),
            .isDraining = readDraining(vm)};
}

} // namespace

std::optional<vm_list> readVmList(const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("vms"))
        return std::nullopt;
    std::vector<json_fault> faults;
    json_reader reader(document, "", faults);
    vm_list list;
    for (json_reader &vm : reader.objects("vms")) {
        const std::string role = vm.requiredString("role");
        if (role == "entry")
            list.entries.push_back(readEntry(vm));
        else if (role == "target")
            list.targets.push_back(readTarget(vm));
    }
    if (!faults.empty())
        return std::nullopt;
    return list;
}

vm_list_client::vm_list_client(endpoint address)
    : m_address(std::move(address))
{
}

std::optional<vm_list> vm_list_client::fetch() const
{
    const std::optional<std::string> body = fetchBody(m_address, "/v1/vms");
    return body.has_value() ? readVmList(*body) : std::nullopt;
}

} // namespace quetzal
