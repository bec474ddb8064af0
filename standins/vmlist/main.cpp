#include "standins/common/standin_program.h"
#include "standins/vmlist/vm_list_server.h"

#include <memory>
#include <string>

namespace {

using namespace quetzal;
using namespace quetzal::standins;

constexpr int maxPort = 65535;
constexpr double maxSeconds = 3600.0;

struct vm_list_settings
{
    std::string ip {};
    int port = 0;
    absl::Duration lag {};
    nlohmann::json vms = nlohmann::json::array();
};

nlohmann::json readVm(json_reader &reader)
{
    nlohmann::json vm = {{"id", reader.requiredString("id")},
                         {"role", reader.requiredString("role")},
                         {"dataCentre", reader.requiredString("dataCentre")},
                         {"ip", reader.requiredString("ip")},
                         {"state", reader.optionalString("state", "live")}};
    if (vm["role"] == "entry") {
        vm["schedulerPort"] = reader.requiredInteger("schedulerPort", 1, maxPort);
    } else {
        vm["port"] = reader.requiredInteger("port", 1, maxPort);
        vm["service"] = reader.requiredString("service");
    }
    reader.reportUnknownMembers();
    return vm;
}

vm_list_settings readSettings(json_reader &reader)
{
    vm_list_settings settings;
    settings.ip = reader.requiredString("ip");
    settings.port = static_cast<int>(reader.requiredInteger("port", 1, maxPort));
    settings.lag = absl::Seconds(reader.optionalNumber("lagSeconds", 0.0, maxSeconds, 0.0));
    for (json_reader &vm : reader.objects("vms"))
        settings.vms.push_back(readVm(vm));
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    vm_list_settings settings;
    std::unique_ptr<vm_list_server> server;
    return runStandin(argc, argv,
                      {.name = "standin-vmlist",
                       .read = [&](json_reader &reader) { settings = readSettings(reader); },
                       .start =
                           [&] {
                               server
                                   = std::make_unique<vm_list_server>(settings.vms, settings.lag);
                               server->start(settings.ip, settings.port);
                           },
                       .finish =
                           [&] {
                               server->finish();
                           }});
}
