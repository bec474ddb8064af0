#include "quarantine/fatal_part_fleet.h"

#include <catch2/catch.hpp>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr std::uint64_t fatalPart = 0xfa7a1;
/** The users' bound for a fleet that knows a fatal part. */
constexpr std::size_t maxSendsOnceFound = 3;

} // namespace

TEST_CASE("requests with a prompt part under which targets end do not go on to other targets",
          "[quarantine]")
{
    const int vms = GENERATE(6, 72, 195);
    const std::uint64_t seed = GENERATE(1U, 2U);
    CAPTURE(vms, seed);
    fatal_part_fleet fleet({.vms = vms, .seed = seed, .fatalParts = {fatalPart}});
    fleet.run(absl::Seconds(20));
    CAPTURE(fleet.fleet().fatalCrashes().size());
    CHECK(fleet.fatalSendsAfter(fleet.boundAt()) <= maxSendsOnceFound);
}
