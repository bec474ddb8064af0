#include "fairness/fairness_report.h"

#include <catch2/catch.hpp>

using namespace quetzal::bench;

namespace {

/** Required bounds on the gap, as multiples of the largest weighted request. */
constexpr double maxGapWithoutFault = 2.0;
constexpr double maxGapUnderFaults = 4.0;
const absl::Duration simulatedDuration = absl::Minutes(10);

} // namespace

SCENARIO("answered requests from a shard in each data centre stay within the target")
{
    for (workload load : {redactor(), rosterApp(), registo()}) {
        CAPTURE(load.name);
        fairness_case faultyCase = shardedCase(load, "gate", 1, simulatedDuration);
        addFaults(faultyCase);
        load.failureRate = 0.0;
        CHECK(run(shardedCase(load, "gate", 1, simulatedDuration)).dispatchedGap
              <= maxGapWithoutFault);
        CHECK(run(faultyCase).dispatchedGap <= maxGapUnderFaults);
    }
}
