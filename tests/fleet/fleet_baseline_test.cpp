#include "fleet/fleet_model.h"

#include <catch2/catch.hpp>

using namespace quetzal;

SCENARIO("a fleet without faults serves every workspace by its share")
{
    fleet_model fleet({});
    fleet.run(absl::Seconds(30));
    const auto before = fleet.served();
    fleet.resetIdle();
    fleet.run(absl::Seconds(60));
    const auto after = fleet.served();
    int answered = 0;
    for (const auto &[number, record] : fleet.requests())
        answered += record.callerResult && record.callerResult->code == result_code::Ok ? 1 : 0;
    INFO("answered " << answered << " longest idle " << fleet.longestIdle());
    CHECK(answered > 100);
    for (int index = 0; index < 3; ++index) {
        const std::string name = fleet.workspaceName(index);
        UNSCOPED_INFO(name << " served " << after.at(name) - before.at(name));
    }
    for (const fake_target &target : fleet.targets())
        CHECK(target.coldLimitExceeded() == 0);
    CHECK(fleet.longestIdle() < absl::Milliseconds(500));
}
