#include "fleet/fault_script.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace quetzal;

namespace {

/** Every value of the range is likely at every size; only the number of faults grows with size. */
template <typename Integer>
rc::Gen<Integer> anyOf(Integer least, Integer bound)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Integer>(least, bound));
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

/** The longest time that a free slot may stand beside waiting work once all faults are over. */
constexpr absl::Duration detectionTime = absl::Seconds(3);
/** How long after the last fault the fleet may take to settle. */
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
    RC_ASSERT(idle < detectionTime);
}

} // namespace

TEST_CASE("every request has one true end under any faults")
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
