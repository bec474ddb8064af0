#include "ownership_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace quetzal;

namespace {

constexpr int nodes = 5;
constexpr int shards = 3;
constexpr absl::Duration start = absl::Seconds(14);

int ownerOf(const ownership_fleet &fleet, int shard)
{
    const std::vector<int> granters = fleet.granters(shard);
    return granters.size() == 1 ? granters[0] : -1;
}

/** Runs the fleet and returns the longest time during which no node could grant on the shard. */
absl::Duration longestGap(ownership_fleet &fleet, int shard, absl::Duration duration)
{
    const absl::Duration step = absl::Milliseconds(50);
    absl::Duration gap;
    absl::Duration longest;
    for (absl::Duration elapsed; elapsed < duration; elapsed += step) {
        fleet.run(step);
        gap = fleet.granters(shard).empty() ? gap + step : absl::ZeroDuration();
        longest = std::max(longest, gap);
    }
    return longest;
}

} // namespace

SCENARIO("an owner fails and another scheduler takes over")
{
    ownership_fleet fleet(nodes, shards, 1);
    fleet.run(start);
    REQUIRE(fleet.isSettled());
    const int owner = ownerOf(fleet, 0);
    const std::int64_t epoch = fleet.epochOf(owner, 0);

    WHEN("its process is killed")
    {
        fleet.kill(owner);
        const absl::Duration gap = longestGap(fleet, 0, absl::Seconds(8));

        THEN("one successor with a higher epoch owns the shard within lease and rank delays")
        {
            CHECK(gap <= absl::Seconds(4) + nodes * absl::Milliseconds(250) + absl::Seconds(1));
            const int successor = ownerOf(fleet, 0);
            REQUIRE(successor >= 0);
            CHECK(successor != owner);
            CHECK(fleet.epochOf(successor, 0) > epoch);
            CHECK(fleet.certaintyOf(successor, 0) == ownership_certainty::Succeeding);

            AND_WHEN("the VM list no longer names the killed VM")
            {
                fleet.run(absl::Seconds(16));
                THEN("the successor is certain")
                {
                    CHECK(fleet.certaintyOf(successor, 0) == ownership_certainty::Certain);
                }
            }
        }
    }

    WHEN("it is paused beyond its lease, and its successor is paused as well")
    {
        fleet.pause(owner);
        fleet.run(absl::Seconds(10));
        const int successor = ownerOf(fleet, 0);
        REQUIRE(successor >= 0);
        fleet.pause(successor);
        fleet.run(absl::Seconds(10));
        const int last = ownerOf(fleet, 0);
        REQUIRE(last >= 0);

        THEN("neither may grant when it resumes")
        {
            fleet.resume(owner);
            fleet.resume(successor);
            CHECK(fleet.granters(0) == std::vector<int> {last});
            fleet.run(absl::Seconds(4));
            CHECK(fleet.granters(0) == std::vector<int> {last});
            CHECK(fleet.certaintyOf(last, 0) == ownership_certainty::Certain);
            CHECK(fleet.violation().empty());
        }
    }

    WHEN("it is paused beyond its lease and fully partitioned when it resumes")
    {
        fleet.pause(owner);
        fleet.cutStore(owner, true);
        fleet.partition(1U << owner);
        fleet.run(absl::Seconds(10));
        fleet.resume(owner);
        THEN("it may not grant before it has settled")
        {
            CHECK(fleet.epochOf(owner, 0) == 0);
            fleet.run(absl::Seconds(1));
            CHECK(fleet.epochOf(owner, 0) == 0);
            CHECK(fleet.violation().empty());
        }
    }

    WHEN("it keeps granting in a store outage and restarts just before the outage ends")
    {
        fleet.stopStore(true);
        fleet.run(absl::Seconds(3.25));
        fleet.restart(owner);
        fleet.cutStore(owner, true);
        fleet.run(absl::Milliseconds(100));
        fleet.stopStore(false);
        fleet.run(absl::Seconds(10));
        THEN("its successor waits until its last grants have expired")
        {
            CHECK(fleet.violation().empty());
        }
    }

    WHEN("it restarts at once")
    {
        fleet.restart(owner);
        fleet.run(absl::Seconds(5));
        THEN("the shard has a certain owner with a higher epoch")
        {
            const int successor = ownerOf(fleet, 0);
            REQUIRE(successor >= 0);
            CHECK(fleet.epochOf(successor, 0) > epoch);
            CHECK(fleet.certaintyOf(successor, 0) == ownership_certainty::Certain);
            CHECK(fleet.violation().empty());
        }
    }
}

SCENARIO("an owner is partitioned")
{
    ownership_fleet fleet(nodes, shards, 2);
    fleet.run(start);
    const int owner = ownerOf(fleet, 0);
    REQUIRE(owner >= 0);
    const std::int64_t epoch = fleet.epochOf(owner, 0);

    WHEN("it does not reach the store for a minute")
    {
        fleet.cutStore(owner, true);
        fleet.run(absl::Minutes(1));
        THEN("peers renew its lease and it keeps the shard")
        {
            CHECK(ownerOf(fleet, 0) == owner);
            CHECK(fleet.epochOf(owner, 0) == epoch);
            CHECK(fleet.at(owner).isConnected(fleet.clockOf(owner)));
            CHECK_FALSE(fleet.at(owner).isStoreReachable(fleet.clockOf(owner)));
        }
    }

    WHEN("it reaches neither store nor peers")
    {
        fleet.cutStore(owner, true);
        fleet.partition(1U << owner);
        fleet.run(absl::Seconds(20));
        THEN("it is uncertain and its successor grants the other half")
        {
            CHECK_FALSE(fleet.at(owner).isConnected(fleet.clockOf(owner)));
            CHECK(fleet.certaintyOf(owner, 0) == ownership_certainty::Uncertain);
            REQUIRE(fleet.granters(0).size() == 2);
            const std::vector<int> granters = fleet.granters(0);
            const int successor = granters[0] == owner ? granters[1] : granters[0];
            CHECK(fleet.certaintyOf(successor, 0) == ownership_certainty::Succeeding);

            AND_WHEN("the partition ends")
            {
                fleet.heal();
                fleet.run(absl::Seconds(4));
                THEN("the successor alone owns the shard and is certain")
                {
                    CHECK(ownerOf(fleet, 0) == successor);
                    CHECK(fleet.certaintyOf(successor, 0) == ownership_certainty::Certain);
                    CHECK(fleet.violation().empty());
                }
            }
        }
    }
}

SCENARIO("the store is unreachable for minutes")
{
    ownership_fleet fleet(nodes, shards, 3);
    fleet.run(start);
    const int owner = ownerOf(fleet, 0);
    REQUIRE(owner >= 0);
    const std::int64_t epoch = fleet.epochOf(owner, 0);

    WHEN("every member is alive")
    {
        fleet.stopStore(true);
        fleet.run(absl::Seconds(4));
        THEN("owners stay certain and keep their epochs afterwards")
        {
            CHECK(fleet.isSettled());
            fleet.run(absl::Minutes(3));
            CHECK(fleet.isSettled());
            fleet.stopStore(false);
            fleet.run(absl::Seconds(10));
            CHECK(fleet.isSettled());
            CHECK(fleet.epochOf(owner, 0) == epoch);
        }
    }

    WHEN("one member is killed, so that it cannot report whether the store answers it")
    {
        fleet.kill((owner + 1) % nodes);
        fleet.stopStore(true);
        fleet.run(absl::Seconds(6));
        THEN("the owner is uncertain until the VM list no longer names the killed member")
        {
            CHECK(fleet.certaintyOf(owner, 0) == ownership_certainty::Uncertain);
            fleet.run(absl::Seconds(6));
            CHECK(fleet.certaintyOf(owner, 0) == ownership_certainty::Certain);
        }
    }

    WHEN("it is slow, so that replies arrive after the request timeout")
    {
        fleet.slowStore(absl::Milliseconds(1200));
        fleet.run(absl::Minutes(2));
        THEN("the owner keeps the shard")
        {
            CHECK(fleet.epochOf(owner, 0) == epoch);
            fleet.heal();
            fleet.run(absl::Seconds(5));
            CHECK(fleet.isSettled());
            CHECK(fleet.violation().empty());
        }
    }
}

SCENARIO("store replies are lost after the writes took effect")
{
    ownership_fleet fleet(nodes, shards, 4);
    for (int node = 0; node < nodes; ++node)
        fleet.loseAnswers(node, 3);
    fleet.run(absl::Seconds(20));
    CHECK(fleet.isSettled());

    WHEN("the replies to takeovers are lost too")
    {
        const int owner = ownerOf(fleet, 0);
        for (int node = 0; node < nodes; ++node) {
            if (node != owner)
                fleet.loseAnswers(node, 6);
        }
        fleet.kill(owner);
        fleet.run(absl::Seconds(40));
        THEN("each shard has one owner")
        {
            CHECK(fleet.isSettled());
            CHECK(fleet.violation().empty());
        }
    }
}

SCENARIO("two candidates race for a shard with delayed store views")
{
    ownership_fleet fleet(nodes, shards, 5);
    fleet.run(start);
    const int owner = ownerOf(fleet, 0);
    for (int node = 0; node < nodes; ++node)
        fleet.delayViews(node, absl::Milliseconds(400 * node));
    fleet.kill(owner);
    fleet.run(absl::Seconds(30));
    CHECK(fleet.isSettled());
    CHECK(fleet.violation().empty());
}

SCENARIO("a scheduler is shut down as planned")
{
    ownership_fleet fleet(nodes, shards, 6);
    fleet.run(start);
    const int owner = ownerOf(fleet, 0);
    const std::int64_t epoch = fleet.epochOf(owner, 0);
    fleet.stop(owner);
    const absl::Duration gap = longestGap(fleet, 0, absl::Seconds(3));

    THEN("its shard is handed over with a higher epoch and almost without interruption")
    {
        CHECK(gap <= absl::Milliseconds(200));
        CHECK(fleet.isStopped(owner));
        const int successor = ownerOf(fleet, 0);
        REQUIRE(successor >= 0);
        CHECK(fleet.epochOf(successor, 0) == epoch + 1);
        fleet.run(absl::Seconds(3));
        CHECK(fleet.certaintyOf(successor, 0) == ownership_certainty::Certain);
        CHECK(fleet.violation().empty());
    }
}

SCENARIO("all schedulers are replaced one after another")
{
    ownership_fleet fleet(nodes, shards, 7);
    fleet.run(start);
    for (int node = 0; node < nodes; ++node) {
        fleet.stop(node);
        fleet.run(absl::Seconds(4));
        CHECK(fleet.isStopped(node));
        fleet.restart(node);
        fleet.run(absl::Seconds(4));
    }
    CHECK(fleet.isSettled());
    CHECK(fleet.violation().empty());
}

SCENARIO("the definition of a shard disappears and comes back")
{
    ownership_fleet fleet(nodes, shards, 8);
    fleet.run(start);
    const int owner = ownerOf(fleet, 0);
    fleet.hideShard(0, true);
    fleet.run(absl::Seconds(1));
    CHECK(fleet.granters(0).empty());
    fleet.hideShard(0, false);
    fleet.run(absl::Seconds(1));
    CHECK(ownerOf(fleet, 0) == owner);
}

SCENARIO("the halves of a cold limit never add up to more than the limit")
{
    for (int limit = 1; limit < 9; ++limit) {
        const int uncertain = coldShare(ownership_certainty::Uncertain, limit);
        const int succeeding = coldShare(ownership_certainty::Succeeding, limit);
        CHECK(uncertain + succeeding == limit);
        CHECK(coldShare(ownership_certainty::Certain, limit) == limit);
        CHECK(coldShare(ownership_certainty::SucceedingUncertain, limit) == 0);
    }
}

SCENARIO("a shard without a possible successor is released")
{
    ownership_fleet fleet(1, 1, 9);
    fleet.run(start);
    REQUIRE(ownerOf(fleet, 0) == 0);
    CHECK(fleet.at(0).knownOwners().contains(fleet.shardName(0)));
    fleet.stop(0);
    fleet.run(absl::Seconds(4));

    THEN("it has no known owner, and the next process takes it over with a higher epoch")
    {
        CHECK(fleet.isStopped(0));
        CHECK_FALSE(fleet.at(0).knownOwners().contains(fleet.shardName(0)));
        fleet.restart(0);
        fleet.run(start);
        CHECK(ownerOf(fleet, 0) == 0);
        CHECK(fleet.epochOf(0, 0) == 3);
    }
}
