#include "standins/common/standin_program.h"
#include "standins/engine/engine_server.h"

#include <memory>
#include <vector>

namespace {

using namespace quetzal;
using namespace quetzal::standins;

struct engine_instance
{
    engine_options options;
    std::string ip {};
    int port = 0;
};

constexpr int mostSlots = 4096;
constexpr double mostSeconds = 3600.0;
constexpr double mostMs = 60000.0;
constexpr double mostTokensPerSecond = 1e6;
constexpr int mostPort = 65535;

/** Reads the members that "defaults" and each instance share. */
engine_options readOptions(json_reader &reader, engine_options options)
{
    options.service = reader.optionalString("service", options.service);
    options.slots = static_cast<int>(reader.optionalInteger("slots", 1, mostSlots, options.slots));
    options.coldSlots
        = static_cast<int>(reader.optionalInteger("coldSlots", 1, mostSlots, options.coldSlots));
    options.coldTime = absl::Seconds(reader.optionalNumber(
        "coldSeconds", 0.0, mostSeconds, absl::ToDoubleSeconds(options.coldTime)));
    options.warmAnswers = static_cast<int>(
        reader.optionalInteger("warmAnswers", 0, mostSlots, options.warmAnswers));
    options.startsWarm = reader.optionalBoolean("startsWarm", options.startsWarm);
    options.mostWaiting = static_cast<int>(
        reader.optionalInteger("mostWaiting", 1, mostSlots, options.mostWaiting));
    options.tokensPerSecond = reader.optionalNumber("tokensPerSecond", 0.01, mostTokensPerSecond,
                                                    options.tokensPerSecond);
    options.timeToFirstToken = absl::Milliseconds(reader.optionalNumber(
        "timeToFirstTokenMs", 0.0, mostMs, absl::ToDoubleMilliseconds(options.timeToFirstToken)));
    options.loadLag = absl::Milliseconds(reader.optionalNumber(
        "loadLagMs", 0.0, mostMs, absl::ToDoubleMilliseconds(options.loadLag)));
    options.fencing = reader.optionalBoolean("fencing", options.fencing);
    return options;
}

std::vector<engine_instance> readInstances(json_reader &reader)
{
    json_reader shared = reader.object("defaults");
    const engine_options defaults = readOptions(shared, {});
    shared.finish();
    std::vector<engine_instance> instances;
    for (json_reader &item : reader.objects("instances")) {
        engine_instance instance {.options = readOptions(item, defaults)};
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
    std::vector<engine_instance> instances;
    std::vector<std::unique_ptr<engine_server>> servers;
    return runStandin(argc, argv,
                      {.name = "standin-engine",
                       .read = [&](json_reader &reader) { instances = readInstances(reader); },
                       .start =
                           [&] {
                               for (const engine_instance &instance : instances) {
                                   servers.push_back(
                                       std::make_unique<engine_server>(instance.options));
                                   servers.back()->start(instance.ip, instance.port);
                               }
                           },
                       .finish =
                           [&] {
                               for (const auto &server : servers)
                                   server->finish();
                           }});
}
