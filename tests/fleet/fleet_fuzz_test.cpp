#include "fleet/fault_script.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace quetzal;

namespace {

/**
 * Generates values of the full range at every size of a test case. Only the number of faults
 * depends on the size.
 */
template <typename Integer>
rc::Gen<Integer> anyOf(Integer min, Integer bound)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Integer>(min, bound));
}

rc::Gen<fault> anyFault()
{
    constexpr int maxSubjects = 12;
    constexpr int maxDelay = 30;
    constexpr int maxLength = 80;
    return rc::gen::build<fault>(
        rc::gen::set(&fault::kind,
                     rc::gen::map(anyOf(0, static_cast<int>(fault_kind::Count)),
                                  [](int kind) { return static_cast<fault_kind>(kind); })),
        rc::gen::set(&fault::subject, anyOf(0, maxSubjects)),
        rc::gen::set(&fault::delay, anyOf(0, maxDelay)),
        rc::gen::set(&fault::length, anyOf(1, maxLength)));
}

/** Maximum time for which a slot may be free while requests are pending, after all faults. */
constexpr absl::Duration maxIdleSlotTime = absl::Seconds(3);
/** Time that the fleet has to recover after the last fault. */
constexpr absl::Duration settlingTime = absl::Seconds(15);

void checkScript(const fleet_options &options, const std::vector<fault> &faults)
{
    fleet_model fleet(options);
    fleet.run(absl::Seconds(12));
    fault_script(fleet, faults).run();
    fleet.run(settlingTime);
    fleet.resetIdle();
    fleet.run(absl::Seconds(10));
    const absl::Duration idle = fleet.longestIdle();
    fleet.setGenerating(false);
    fleet.run(absl::Seconds(60));
    for (const std::string &violation : violations(fleet))
        RC_FAIL(violation);
    RC_ASSERT(idle < maxIdleSlotTime);
}

} // namespace

TEST_CASE("every request gets one correct result under any faults")
{
    CHECK(rc::check("idempotent requests", [] {
        const auto seed = *anyOf<std::uint64_t>(0, 1000);
        const auto faults = *rc::gen::container<std::vector<fault>>(anyFault());
        checkScript({.seed = seed}, faults);
    }));
    CHECK(rc::check("requests that may run once only", [] {
        const auto seed = *anyOf<std::uint64_t>(0, 1000);
        const auto faults = *rc::gen::container<std::vector<fault>>(anyFault());
        checkScript({.idempotent = false, .answeredRequests = true, .seed = seed}, faults);
    }));
}
