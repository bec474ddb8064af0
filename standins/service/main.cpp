#include "standins/common/standin_instances.h"
#include "standins/service/service_server.h"

namespace {

using namespace quetzal;
using namespace quetzal::standins;

constexpr int maxSlots = 4096;
constexpr double maxMs = 60000.0;

/** Reads the options that may stand both in "defaults" and in an instance. */
service_options readOptions(json_reader &reader, service_options options)
{
    options.service = reader.optionalString("service", options.service);
    options.slots = static_cast<int>(reader.optionalInteger("slots", 1, maxSlots, options.slots));
    options.serviceTime = absl::Milliseconds(reader.optionalNumber(
        "serviceTimeMs", 0.0, maxMs, absl::ToDoubleMilliseconds(options.serviceTime)));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    return runInstances<service_server, service_options>(argc, argv, "standin-service",
                                                         readOptions);
}
