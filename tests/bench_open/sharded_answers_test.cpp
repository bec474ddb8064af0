#include "fairness/fairness_report.h"

#include <catch2/catch.hpp>

using namespace quetzal::bench;

namespace {

/** Stated targets, in largest weighted requests. */
constexpr double gapWithoutFault = 2.0;
constexpr double gapUnderFaults = 4.0;
const absl::Duration length = absl::Minutes(10);

} // namespace

SCENARIO("answered requests from a shard in each data centre stay within the target")
{
    for (workload load : {redactor(), rosterApp(), registo()}) {
        CAPTURE(load.name);
        fairness_case faulty = shardedCase(load, "gate", 1, length);
        addFaults(faulty);
        load.failureRate = 0.0;
        CHECK(run(shardedCase(load, "gate", 1, length)).dispatchedGap <= gapWithoutFault);
        CHECK(run(faulty).dispatchedGap <= gapUnderFaults);
    }
}
