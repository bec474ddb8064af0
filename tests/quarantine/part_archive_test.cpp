#include "exchange/record/part_record_codec.h"
#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr part_id fatalPart = 0xfa7a1;
constexpr part_id commonPart = 0xa1;
constexpr absl::Duration settleTime = absl::Milliseconds(300);

target_loss lossAt(absl::Time at, std::uint64_t target)
{
    return {.end = {.target = {.target = target, .startedAtMs = 1}, .address = target, .at = at},
            .parts = {commonPart, fatalPart}};
}

trial_turn first(part_id)
{
    return {.rank = 0, .routers = 3};
}

/** Returns the write that a router with this place makes at once. */
std::optional<archive_write> writeOf(part_archive &archive, const part_quarantine &quarantine,
                                     absl::Time now)
{
    return archive.next(quarantine.partsToKeep(), first, now);
}

} // namespace

TEST_CASE("what the routers know of a prompt part survives the end of all of them", "[quarantine]")
{
    part_quarantine quarantine;
    part_archive archive;
    quarantine.onLoss(lossAt(start, 1), start);
    CHECK_FALSE(writeOf(archive, quarantine, start));
    const absl::Time second = start + absl::Seconds(4);
    const std::vector<part_id> common {commonPart};
    quarantine.onSound(common, start + absl::Seconds(2));
    quarantine.onLoss(lossAt(second, 2), second);
    const auto write = writeOf(archive, quarantine, second);
    REQUIRE(write);
    CHECK(write->part.part == fatalPart);
    CHECK(write->expectedRevision == 0);
    CHECK_FALSE(write->isRemoval);

    SECTION("also when the service comes back from an older copy without the record")
    {
        archive.onRecord(write->part, 8);
        CHECK_FALSE(writeOf(archive, quarantine, second));
        archive.onRecordRemoved(fatalPart);
        CHECK(writeOf(archive, quarantine, second) == write);
    }

    SECTION("also when the copy holds what was known some ends before")
    {
        held_part earlier = write->part;
        earlier.ends.pop_back();
        archive.onRecord(earlier, 9);
        const auto again = writeOf(archive, quarantine, second);
        REQUIRE(again);
        CHECK(again->part == write->part);
        CHECK(again->expectedRevision == 9);
    }

    const clock_reading before {.now = second, .timeOfDayMs = 1000000};
    const std::string text = encodePartRecord(write->part, before);
    // The clocks of the routers that start are others, and one of them is behind.
    const clock_reading after {.now = start - absl::Minutes(7), .timeOfDayMs = 998000};

    SECTION("one more end holds the part, as if they had run on")
    {
        part_quarantine next;
        part_archive nextArchive;
        const auto record = decodePartRecord(text, after);
        REQUIRE(record);
        nextArchive.onRecord(*record, 17);
        next.onNews({.held = {*record}}, "store", after.now);
        CHECK(next.held().empty());
        CHECK_FALSE(writeOf(nextArchive, next, after.now));
        const absl::Time third = after.now + absl::Seconds(5);
        next.onLoss(lossAt(third, 3), third);
        next.update(settleTime, third + settleTime);
        CHECK(next.held().contains(fatalPart));
        CHECK_FALSE(next.held().contains(commonPart));

        AND_THEN("the record is written anew, on condition that nobody else did")
        {
            const auto again = writeOf(nextArchive, next, third + settleTime);
            REQUIRE(again);
            CHECK(again->expectedRevision == 17);
            CHECK(again->part.ends.size() == 3);
        }
    }

    SECTION("a part that is sound is forgotten")
    {
        archive.onRecord(write->part, 17);
        CHECK_FALSE(writeOf(archive, quarantine, second));
        const std::vector<part_id> fatal {fatalPart};
        const absl::Time soundAt = second + absl::Seconds(1);
        quarantine.onSound(fatal, soundAt);
        CHECK_FALSE(writeOf(archive, quarantine, soundAt));
        const auto removal = writeOf(archive, quarantine, soundAt + part_archive::removalDelay);
        REQUIRE(removal);
        CHECK(removal->isRemoval);
        CHECK(removal->expectedRevision == 17);
        archive.onRecordRemoved(fatalPart);
        CHECK_FALSE(writeOf(archive, quarantine, soundAt + absl::Minutes(1)));
    }

    SECTION("one router writes for all, and the next ones follow if it does not")
    {
        part_archive other;
        const auto third = [](part_id) {
            return trial_turn {.rank = 2, .routers = 3};
        };
        const std::vector<held_part> wanted = quarantine.partsToKeep();
        const absl::Time turn = second + 2 * part_archive::takeoverDelay;
        CHECK_FALSE(other.next(wanted, third, second));
        CHECK_FALSE(other.next(wanted, third, turn - absl::Milliseconds(1)));
        CHECK(other.next(wanted, third, turn) == write);
    }

    SECTION("a full service is not asked for more")
    {
        for (part_id part = 1; part <= part_archive::maxRecords; ++part)
            archive.onRecord({.part = part}, 5);
        const auto next = writeOf(archive, quarantine, second);
        CHECK((!next || next->isRemoval));
    }
}

TEST_CASE("the loss of a data centre is no evidence against the parts in work there",
          "[quarantine]")
{
    part_quarantine quarantine;
    for (std::uint64_t target = 1; target <= 20; ++target)
        quarantine.onLoss(lossAt(start + absl::Milliseconds(20) * target, target), start);
    CHECK(quarantine.partsToKeep().empty());
}

TEST_CASE("a record that anybody could have written ends no router", "[quarantine]")
{
    const clock_reading clock {.now = start, .timeOfDayMs = 1000000};
    const std::string text = encodePartRecord(
        {.part = fatalPart, .since = start, .ends = {lossAt(start, 1).end}, .trials = 2}, clock);
    REQUIRE(decodePartRecord(text, clock));

    SECTION("whatever it holds")
    {
        for (const char *odd : {"", "{}", "[]", "null", "{\"writtenAtMs\":-1,\"part\":[]}",
                                "{\"writtenAtMs\":1,\"part\":[1,2,[[1]],0,0]}"})
            CHECK_FALSE(decodePartRecord(odd, clock));
    }

    SECTION("wherever its bytes were changed")
    {
        CHECK(rc::check("any byte", [&] {
            std::string spoiled = text;
            const auto at = *rc::gen::inRange<std::size_t>(0, spoiled.size());
            spoiled[at] = *rc::gen::arbitrary<char>();
            decodePartRecord(spoiled, clock);
        }));
    }
}
