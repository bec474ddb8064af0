#include "ownership_fleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <memory>

using namespace quetzal;

namespace {

constexpr int members = 340;
constexpr int shards = 75;
constexpr int heldShards = 2;
const absl::Time begin = absl::UnixEpoch() + absl::Hours(1);

std::string vmName(int index)
{
    return "vm-" + std::to_string(index);
}

store_view fullView(std::int64_t revision)
{
    store_view view {.revision = revision, .records = {}};
    for (int vm = 0; vm < members; ++vm) {
        view.records["/quetzal/test/members/" + vmName(vm)]
            = {toText(member_record {1, "dc-" + std::to_string(vm % 4)}), vm + 1, vm + 1};
    }
    for (int shard = 0; shard < shards; ++shard) {
        const int owner = shard < heldShards ? 0 : shard;
        view.records["/quetzal/test/shards/shard-" + std::to_string(shard)]
            = {toText(shard_record {vmName(owner), 1, 3, {}}), 1000 + shard, 0};
    }
    return view;
}

template <typename action>
double microseconds(int repeats, action act)
{
    const auto start = std::chrono::steady_clock::now();
    for (int repeat = 0; repeat < repeats; ++repeat)
        act(repeat);
    const std::chrono::duration<double, std::micro> spent
        = std::chrono::steady_clock::now() - start;
    return spent.count() / repeats;
}

} // namespace

TEST_CASE("figures of one scheduler among 340 with 75 shards", "[.size]")
{
    const std::size_t before = mallinfo2().uordblks;
    auto ownership = std::make_unique<shard_ownership>(ownership_fleet::options(0, 1));
    std::vector<scheduler_member> memberList;
    std::vector<shard_definition> definitions;
    memberList.reserve(members);
    definitions.reserve(shards);
    for (int vm = 0; vm < members; ++vm)
        memberList.push_back({vmName(vm), "dc-" + std::to_string(vm % 4)});
    for (int shard = 0; shard < shards; ++shard)
        definitions.push_back({"shard-" + std::to_string(shard), "service", "dc-0"});
    ownership->setMembers(memberList);
    ownership->setShards(definitions);
    ownership->onStoreView(fullView(5000), begin);
    for (int vm = 1; vm < members; ++vm)
        ownership->onPeerHeartbeat({.vm = vmName(vm), .incarnation = 1}, begin);
    ownership->advance(begin);
    const std::size_t after = mallinfo2().uordblks;

    const store_view changed = fullView(5001);
    std::printf("memory: %.0f KB\n", static_cast<double>(after - before) / 1024);
    std::printf("advance: %.1f us\n", microseconds(2000, [&](int repeat) {
                    ownership->advance(begin + absl::Milliseconds(repeat));
                }));
    std::printf("ownedShards: %.1f us\n", microseconds(2000, [&](int /*repeat*/) {
                    return ownership->ownedShards(begin + absl::Seconds(2));
                }));
    std::printf("isConnected: %.1f us\n", microseconds(2000, [&](int /*repeat*/) {
                    return ownership->isConnected(begin + absl::Seconds(2));
                }));
    std::printf("onPeerHeartbeat: %.1f us\n", microseconds(2000, [&](int repeat) {
                    ownership->onPeerHeartbeat({.vm = vmName(1 + repeat % 300), .incarnation = 1},
                                               begin);
                }));
    std::printf("onStoreView: %.1f us\n",
                microseconds(200, [&](int /*repeat*/) { ownership->onStoreView(changed, begin); }));
    std::printf("setMembers: %.1f us\n",
                microseconds(200, [&](int /*repeat*/) { ownership->setMembers(memberList); }));
    CHECK(ownership->knownOwners().size() == shards);
}

TEST_CASE("store writes of a fleet of 340 with 75 shards", "[.size]")
{
    ownership_fleet fleet(members, shards, 1);
    fleet.run(absl::Seconds(14));
    std::printf("requests in the first 14 s: %d\n", fleet.store().requests());
    CHECK(fleet.isSettled());
    const int before = fleet.store().requests();
    fleet.run(absl::Seconds(5));
    std::printf("requests per second at rest: %.1f\n", (fleet.store().requests() - before) / 5.0);
    for (const int victim : fleet.granters(0))
        fleet.kill(victim);
    const int atKill = fleet.store().requests();
    fleet.run(absl::Seconds(8));
    std::printf("requests per second with an owner killed: %.1f\n",
                (fleet.store().requests() - atKill) / 8.0);
    CHECK(fleet.granters(0).size() == 1);
    CHECK(fleet.violation().empty());
}

SCENARIO("an idle scheduler sends one store request per second")
{
    ownership_fleet fleet(5, 3, 1);
    fleet.run(absl::Seconds(14));
    const int before = fleet.store().requests();
    fleet.run(absl::Seconds(20));
    CHECK(fleet.store().requests() - before <= 5 * 20);
}

SCENARIO("a takeover needs few store requests although every scheduler observes it")
{
    ownership_fleet fleet(12, 3, 1);
    fleet.run(absl::Seconds(14));
    const int victim = fleet.granters(0).front();
    const int before = fleet.store().requests();
    fleet.kill(victim);
    fleet.run(absl::Seconds(8));
    REQUIRE(fleet.granters(0).size() == 1);
    const int renewals = 12 * 8;
    const int takeovers = fleet.store().requests() - before - renewals;
    CHECK(takeovers <= 3);
}
