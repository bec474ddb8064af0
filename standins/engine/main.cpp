#include "standins/common/standin_instances.h"
#include "standins/engine/engine_server.h"

namespace {

using namespace quetzal;
using namespace quetzal::standins;

constexpr int maxSlots = 4096;
constexpr double maxSeconds = 3600.0;
constexpr double maxMs = 60000.0;
constexpr double maxTokensPerSecond = 1e6;

/** Reads the options that may stand both in "defaults" and in an instance. */
engine_options readOptions(json_reader &reader, engine_options options)
{
    options.service = reader.optionalString("service", options.service);
    options.slots = static_cast<int>(reader.optionalInteger("slots", 1, maxSlots, options.slots));
    options.coldSlots
        = static_cast<int>(reader.optionalInteger("coldSlots", 1, maxSlots, options.coldSlots));
    options.coldTime = absl::Seconds(reader.optionalNumber(
        "coldSeconds", 0.0, maxSeconds, absl::ToDoubleSeconds(options.coldTime)));
    options.warmAnswers
        = static_cast<int>(reader.optionalInteger("warmAnswers", 0, maxSlots, options.warmAnswers));
    options.startsWarm = reader.optionalBoolean("startsWarm", options.startsWarm);
    options.maxQueued
        = static_cast<int>(reader.optionalInteger("mostWaiting", 1, maxSlots, options.maxQueued));
    options.tokensPerSecond = reader.optionalNumber("tokensPerSecond", 0.01, maxTokensPerSecond,
                                                    options.tokensPerSecond);
    options.timeToFirstToken = absl::Milliseconds(reader.optionalNumber(
        "timeToFirstTokenMs", 0.0, maxMs, absl::ToDoubleMilliseconds(options.timeToFirstToken)));
    options.loadLag = absl::Milliseconds(reader.optionalNumber(
        "loadLagMs", 0.0, maxMs, absl::ToDoubleMilliseconds(options.loadLag)));
    options.fencing = reader.optionalBoolean("fencing", options.fencing);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    return runInstances<engine_server, engine_options>(argc, argv, "standin-engine", readOptions);
}
