#include "standins/common/standin_program.h"
#include "standins/service/service_server.h"

#include <memory>
#include <vector>

namespace {

using namespace quetzal;
using namespace quetzal::standins;

struct service_instance
{
    service_options options;
    std::string ip {};
    int port = 0;
};

constexpr int mostSlots = 4096;
constexpr double mostMs = 60000.0;
constexpr int mostPort = 65535;

/** Reads the members that "defaults" and each instance share. */
service_options readOptions(json_reader &reader, service_options options)
{
    options.service = reader.optionalString("service", options.service);
    options.slots = static_cast<int>(reader.optionalInteger("slots", 1, mostSlots, options.slots));
    options.serviceTime = absl::Milliseconds(reader.optionalNumber(
        "serviceTimeMs", 0.0, mostMs, absl::ToDoubleMilliseconds(options.serviceTime)));
    return options;
}

std::vector<service_instance> readInstances(json_reader &reader)
{
    json_reader shared = reader.object("defaults");
    const service_options defaults = readOptions(shared, {});
    shared.finish();
    std::vector<service_instance> instances;
    for (json_reader &item : reader.objects("instances")) {
        service_instance instance {.options = readOptions(item, defaults)};
        instance.options.id = item.requiredString("id");
        instance.ip = item.requiredString("ip");
        instance.port = static_cast<int>(item.requiredInteger("port", 1, mostPort));
        item.finish();
        instances.push_back(instance);
    }
    return instances;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<service_instance> instances;
    std::vector<std::unique_ptr<service_server>> servers;
    return runStandin(argc, argv,
                      {.name = "standin-service",
                       .read = [&](json_reader &reader) { instances = readInstances(reader); },
                       .start =
                           [&] {
                               for (const service_instance &instance : instances) {
                                   servers.push_back(
                                       std::make_unique<service_server>(instance.options));
                                   servers.back()->start(instance.ip, instance.port);
                               }
                           },
                       .finish =
                           [&] {
                               for (const auto &server : servers)
                                   server->finish();
                           }});
}
