#include "emulator/test_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

/** Generates all values of the range at every size; only the number of faults grows with size. */
template <typename Integer>
rc::Gen<Integer> anyOf(Integer min, Integer bound)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Integer>(min, bound));
}

rc::Gen<absl::Duration> anyDuration(int maxTenths)
{
    return rc::gen::map(anyOf(0, maxTenths),
                        [](int tenths) { return absl::Milliseconds(100) * tenths; });
}

rc::Gen<fault> anyFault()
{
    constexpr int maxSubjects = 24;
    constexpr int maxDelayTenths = 30;
    constexpr int maxDurationTenths = 60;
    return rc::gen::build<fault>(
        rc::gen::set(&fault::kind,
                     rc::gen::map(anyOf(0, static_cast<int>(fault_kind::Count)),
                                  [](int kind) { return static_cast<fault_kind>(kind); })),
        rc::gen::set(&fault::subject, anyOf(0, maxSubjects)),
        rc::gen::set(&fault::delay, anyDuration(maxDelayTenths)),
        rc::gen::set(&fault::duration, anyDuration(maxDurationTenths)));
}

} // namespace

TEST_CASE("invariants hold under random faults", "[fuzz]")
{
    CHECK(rc::check("faults of routers, targets, store and operators", [] {
        const auto seed = *anyOf<std::uint64_t>(1, 1000);
        const auto faults = *rc::gen::container<std::vector<fault>>(anyFault());
        test_fleet fleet({.seed = seed});
        fleet.run(absl::Seconds(4));
        fleet.runFaults(faults);
        fleet.run(absl::Seconds(8));
        fleet.checkSettled();
        const absl::Time settled = fleet.events().now();
        fleet.run(absl::Seconds(4));
        const service_sum served = fleet.servedSince(settled);
        for (const std::string &violation : fleet.finish())
            RC_FAIL(violation);
        RC_ASSERT(served.refused * 20 <= served.requests);
        RC_ASSERT(served.failed * 20 <= served.requests);
    }));
}
