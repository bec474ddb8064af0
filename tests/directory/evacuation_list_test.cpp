#include "directory/directory.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("evacuations of a service that may come back from an older copy", "[directory]")
{
    using names = absl::flat_hash_set<std::string>;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    const std::int64_t restored = revisionInEra(1, 3);
    evacuation_list evacuations;
    evacuations.apply({"north"}, 5, start);
    CHECK(evacuations.current(start) == names {"north"});

    SECTION("one that the operators take back ends at once")
    {
        evacuations.apply({}, 6, start);
        CHECK(evacuations.current(start).empty());
    }

    SECTION("one that the service has lost stays until the operators can have written it again")
    {
        const absl::Time graceEnd = start + evacuation_list::restoredGrace;
        evacuations.apply({}, restored, start);
        CHECK(evacuations.current(graceEnd - absl::Milliseconds(1)) == names {"north"});
        CHECK(evacuations.current(graceEnd).empty());

        AND_THEN("another change does not end it sooner")
        {
            evacuations.apply({"south"}, restored + 1, start);
            CHECK(evacuations.current(start) == names {"north", "south"});
        }

        AND_THEN("once written again it stays until it is taken back")
        {
            evacuations.apply({"north"}, restored + 1, start);
            CHECK(evacuations.current(graceEnd) == names {"north"});
            evacuations.apply({}, restored + 2, graceEnd);
            CHECK(evacuations.current(graceEnd).empty());
        }
    }
}
