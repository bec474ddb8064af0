#include "standins/vmlist/vm_list_model.h"

#include <catch2/catch.hpp>

using namespace quetzal::standins;

SCENARIO("changes of the VM list become visible after the lag")
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    vm_list_model list({{{"id", "e1"}, {"state", "live"}}}, absl::Seconds(10), start);
    CHECK(list.visibleVms(start)[0]["state"] == "live");

    REQUIRE(list.setState("e1", "leaving", start + absl::Seconds(1)));
    CHECK_FALSE(list.setState("e2", "leaving", start));
    CHECK(list.visibleVms(start + absl::Milliseconds(10999))[0]["state"] == "live");
    CHECK(list.visibleVms(start + absl::Seconds(11))[0]["state"] == "leaving");
}
