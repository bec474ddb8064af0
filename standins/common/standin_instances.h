#pragma once

#include "standins/common/standin_program.h"

#include <memory>
#include <string>
#include <vector>

namespace quetzal::standins {

/** The options and the listening address of one server of a stand-in program. */
template <typename Options>
struct standin_instance
{
    Options options;
    std::string ip {};
    int port = 0;
};

/**
 * Reads the options that may stand both in "defaults" and in an instance; the second argument
 * supplies the values of absent members.
 */
template <typename Options>
using options_reader = Options (*)(json_reader &, Options);

/** Reads "defaults" and "instances" of a stand-in's settings; invalid ones are reported to the
 * reader. */
template <typename Options>
std::vector<standin_instance<Options>> readInstances(json_reader &reader,
                                                     options_reader<Options> readOptions)
{
    constexpr int maxPort = 65535;
    json_reader shared = reader.object("defaults");
    const Options defaults = readOptions(shared, {});
    shared.reportUnknownMembers();
    std::vector<standin_instance<Options>> instances;
    for (json_reader &item : reader.objects("instances")) {
        standin_instance<Options> instance {.options = readOptions(item, defaults)};
        instance.options.id = item.requiredString("id");
        instance.ip = item.requiredString("ip");
        instance.port = static_cast<int>(item.requiredInteger("port", 1, maxPort));
        item.reportUnknownMembers();
        instances.push_back(instance);
    }
    return instances;
}

/**
 * Runs a stand-in program with one Server for each instance of its settings. Returns the exit code
 * as runStandin() does.
 */
template <typename Server, typename Options>
int runInstances(int argc, char **argv, const std::string &name,
                 options_reader<Options> readOptions)
{
    std::vector<standin_instance<Options>> instances;
    std::vector<std::unique_ptr<Server>> servers;
    const auto start = [&] {
        for (const standin_instance<Options> &instance : instances) {
            servers.push_back(std::make_unique<Server>(instance.options));
            servers.back()->start(instance.ip, instance.port);
        }
    };
    const auto finish = [&] {
        for (const auto &server : servers)
            server->finish();
    };
    return runStandin(
        argc, argv,
        {.name = name,
         .read
         = [&](json_reader &reader) { instances = readInstances<Options>(reader, readOptions); },
         .start = start,
         .finish = finish});
}

} // namespace quetzal::standins
