#include "directory/mirror/store_revision.h"
#include "membership/membership.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

std::vector<std::string> namesOf(const std::vector<member> &members)
{
    std::vector<std::string> names;
    for (const member &entry : members)
        names.push_back(entry.vm);
    return names;
}

} // namespace

TEST_CASE("routers that share the fleet's limits", "[membership]")
{
    using names = std::vector<std::string>;
    member_table table;
    const member first {.vm = "a", .host = "10.0.0.1", .revision = 1};
    const member second {.vm = "b", .host = "10.0.0.2", .revision = 2};
    table.apply({first, second}, 2, start);
    CHECK(namesOf(table.current(start)) == names {"a", "b"});

    SECTION("a router that has not renewed its record for a while is still a member")
    {
        CHECK(namesOf(table.current(start + absl::Minutes(4))) == names {"a", "b"});
        CHECK(table.expired(start + absl::Minutes(4)).empty());
    }

    SECTION("a record that is not renewed expires, a renewed one does not")
    {
        member renewed = second;
        renewed.revision = 9;
        table.apply({first, renewed}, 9, start + absl::Minutes(3));
        const absl::Time later = start + absl::Minutes(6);
        CHECK(namesOf(table.current(later)) == names {"b"});
        CHECK(table.expired(later) == std::vector<member> {first});
    }

    SECTION("records do not expire while they can't be read")
    {
        const absl::Time later = start + absl::Hours(2);
        table.onRecordsReadable(later);
        CHECK(namesOf(table.current(later + absl::Minutes(4))) == names {"a", "b"});
    }

    SECTION("a router whose record was removed is no longer a member")
    {
        table.apply({second}, 3, start + absl::Seconds(1));
        CHECK(namesOf(table.current(start + absl::Seconds(1))) == names {"b"});
    }

    SECTION("a router is still a member when the service comes back without its record")
    {
        const std::int64_t restored = revisionInEra(1, 1);
        const absl::Time later = start + absl::Seconds(10);
        table.apply({{.vm = "a", .host = "10.0.0.1", .revision = restored}}, restored, later);
        CHECK(namesOf(table.current(later)) == names {"a", "b"});
        CHECK_FALSE(table.isStored("b"));

        AND_THEN("it stays one when others change their records")
        {
            table.apply({{.vm = "a", .host = "10.0.0.1", .revision = restored + 1}}, restored + 1,
                        later);
            CHECK(namesOf(table.current(later)) == names {"a", "b"});
        }

        AND_THEN("it is removed as usual once it has written its record again")
        {
            const member again {.vm = "b", .host = "10.0.0.2", .revision = restored + 2};
            table.apply({again}, restored + 2, later);
            CHECK(table.isStored("b"));
            table.apply({}, restored + 3, later);
            CHECK_FALSE(table.isStored("b"));
            CHECK(namesOf(table.current(later)).empty());
        }

        AND_THEN("it is forgotten when its time is over, and its record is not removed again")
        {
            const absl::Time over = start + member_table::lifetime;
            CHECK(namesOf(table.current(over)) == names {"a"});
            CHECK(table.expired(over).empty());
        }
    }
}
