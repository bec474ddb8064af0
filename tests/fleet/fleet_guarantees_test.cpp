#include "fleet/fault_script.h"
#include "fleet/fleet_model.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace quetzal;

namespace {

constexpr absl::Duration warmUp = absl::Seconds(20);
/**
 * Maximum time after which a data centre taken out of use, or a draining target, must not receive
 * new requests.
 */
constexpr absl::Duration maxReactionTime = absl::Seconds(3);
/** Maximum time for which a slot may be free while requests are pending, after a fault. */
constexpr absl::Duration maxIdleSlotTime = absl::Seconds(8);

int coldLimitExceeded(const fleet_model &fleet)
{
    int total = 0;
    for (const fake_target &target : fleet.targets())
        total += target.coldLimitExceeded();
    return total;
}

} // namespace

SCENARIO("a data centre that was taken out receives no new requests after three seconds")
{
    fleet_model fleet({});
    fleet.run(warmUp);
    bool isOut = true;

    SECTION("nothing fails")
    {
        fleet.setDataCentresOut({1});
    }
    SECTION("the store goes down right after it accepted the change")
    {
        fleet.setDataCentresOut({1});
        fleet.run(absl::Milliseconds(100));
        fleet.setStoreDown(true);
    }
    SECTION("a VM is disconnected from the others and from the store")
    {
        fleet.partition({2});
        fleet.setStoreDisconnected(2, true);
        fleet.setDataCentresOut({1});
    }
    SECTION("a VM's scheduler is killed")
    {
        fleet.killScheduler(1);
        fleet.setDataCentresOut({1});
    }
    SECTION("a router is paused meanwhile and resumed")
    {
        fleet.pauseRouter(2, true);
        fleet.setDataCentresOut({1});
        fleet.run(absl::Seconds(6));
        fleet.pauseRouter(2, false);
    }
    SECTION("operators make concurrent changes, the last of which brings the data centre back in")
    {
        fleet.setDataCentresOut({1});
        fleet.setDataCentresOut({});
        isOut = false;
    }
    const absl::Time bound = fleet.now() + maxReactionTime;
    fleet.run(absl::Seconds(20));
    const int late = fleet.attemptsSince(1, bound);
    CHECK((isOut ? late == 0 : late > 0));
}

SCENARIO("a target that starts draining receives no new requests after three seconds")
{
    fleet_model fleet({});
    fleet.run(warmUp);
    fleet.freezeVmList(true);
    fleet.setTargetDraining(0, true);
    const absl::Time bound = fleet.now() + maxReactionTime;
    fleet.run(absl::Seconds(20));
    const auto &attempts = fleet.targets()[0].attempts();
    CHECK(std::none_of(attempts.begin(), attempts.end(),
                       [bound](const auto &item) { return item.first >= bound; }));
}

SCENARIO("a cold target never gets more requests than it has cold slots")
{
    fleet_options options;
    options.slotsPerTarget = 6;
    options.coldSlots = 2;
    fleet_model fleet(options);

    SECTION("all targets start cold")
    {
        fleet.run(absl::Seconds(30));
    }
    SECTION("a target restarts cold after its process was killed")
    {
        fleet.run(warmUp);
        fleet.killTarget(0);
        fleet.run(absl::Seconds(5));
        fleet.restartTarget(0);
        fleet.run(absl::Seconds(30));
    }
    SECTION("an owner is paused beyond its lease, twice, while targets start cold")
    {
        for (int round = 0; round < 2; ++round) {
            fleet.pauseScheduler(round, true);
            fleet.killTarget(0);
            fleet.killTarget(2);
            fleet.run(absl::Seconds(6));
            fleet.restartTarget(0);
            fleet.restartTarget(2);
            fleet.run(absl::Seconds(2));
            fleet.pauseScheduler(round, false);
            fleet.run(absl::Seconds(10));
        }
    }
    SECTION("an owner is disconnected from the store only")
    {
        fleet.run(warmUp);
        fleet.setStoreDisconnected(0, true);
        fleet.killTarget(0);
        fleet.killTarget(2);
        fleet.run(absl::Seconds(5));
        fleet.restartTarget(0);
        fleet.restartTarget(2);
        fleet.run(absl::Seconds(30));
    }
    SECTION("an owner is disconnected from the other VMs and the store, and a successor takes over")
    {
        fleet.run(warmUp);
        fleet.partition({0});
        fleet.setStoreDisconnected(0, true);
        fleet.killTarget(0);
        fleet.killTarget(2);
        fleet.run(absl::Seconds(4));
        fleet.restartTarget(0);
        fleet.restartTarget(2);
        fleet.run(absl::Seconds(30));
    }
    CHECK(coldLimitExceeded(fleet) == 0);
}

SCENARIO("an unannounced restart of a warm target is detected from its reset connections")
{
    fleet_options options;
    options.slotsPerTarget = 6;
    options.coldSlots = 1;
    fleet_model fleet(options);
    fleet.run(warmUp);
    fleet.restartTarget(0);
    fleet.run(absl::Milliseconds(200));
    const int unavoidable = coldLimitExceeded(fleet);
    fleet.run(absl::Seconds(20));
    CHECK(coldLimitExceeded(fleet) == unavoidable);
}

SCENARIO("a graceful shutdown disconnects no caller and loses no request")
{
    fleet_model fleet({});
    fleet.run(warmUp);
    for (int vm = 0; vm < 3; ++vm) {
        fleet.stopRouterGracefully(vm);
        absl::Duration waited;
        while (!fleet.router(vm)->isFinished() && waited < absl::Minutes(2)) {
            fleet.run(absl::Milliseconds(100));
            waited += absl::Milliseconds(100);
        }
        CHECK(fleet.router(vm)->isFinished());
        fleet.killRouter(vm);
        fleet.stopSchedulerGracefully(vm);
        waited = absl::ZeroDuration();
        while (!fleet.scheduler(vm)->isStopped() && waited < absl::Minutes(1)) {
            fleet.run(absl::Milliseconds(100));
            waited += absl::Milliseconds(100);
        }
        CHECK(fleet.scheduler(vm)->isStopped());
        fleet.killScheduler(vm);
        fleet.run(absl::Seconds(2));
        fleet.startScheduler(vm);
        fleet.startRouter(vm);
        fleet.run(absl::Seconds(12));
    }
    fleet.setGenerating(false);
    fleet.run(absl::Minutes(1));
    CHECK(violations(fleet).empty());
    int disconnected = 0;
    int refusedAfterAcceptance = 0;
    for (const auto &[number, record] : fleet.requests()) {
        disconnected += record.disconnected ? 1 : 0;
        const bool late = record.callerResult && record.callerResult->code != result_code::Ok
            && record.callerResult->code != result_code::DeadlineBeforeDispatch;
        refusedAfterAcceptance += late ? 1 : 0;
    }
    CHECK(disconnected == 0);
    CHECK(refusedAfterAcceptance == 0);
}

SCENARIO("no slot stays free beyond the detection time while requests are pending")
{
    fleet_model fleet({});
    fleet.run(warmUp);
    fleet.resetIdle();

    SECTION("requests are pending at one router only")
    {
        fleet.setLoadedRouters({1});
        fleet.run(absl::Seconds(30));
        CHECK(fleet.longestIdle() < absl::Seconds(1));
    }
    SECTION("a router is killed while it holds grants")
    {
        fleet.killRouter(0);
        fleet.run(absl::Seconds(30));
    }
    SECTION("an owner is killed")
    {
        fleet.killScheduler(0);
        fleet.run(absl::Seconds(30));
    }
    SECTION("messages are lost, duplicated and delayed")
    {
        fleet.setNetwork(0.1, 0.1, absl::Milliseconds(50));
        fleet.run(absl::Seconds(30));
    }
    CHECK(fleet.longestIdle() < maxIdleSlotTime);
}

SCENARIO("an accepted configuration takes effect within three seconds and never reverts")
{
    fleet_model fleet({});
    fleet.run(warmUp);
    std::vector<std::int64_t> allowed {0};

    SECTION("nothing fails")
    {
        allowed.clear();
    }
    SECTION("one VM cannot reach the store")
    {
        fleet.setStoreDisconnected(1, true);
        allowed.clear();
    }
    SECTION("one VM is disconnected from the other VMs and the store")
    {
        fleet.partition({1});
        fleet.setStoreDisconnected(1, true);
    }
    fleet.setDataCentresOut({1});
    allowed.push_back(fleet.acceptedRevision());
    fleet.run(maxReactionTime);
    for (const std::int64_t revision : fleet.revisions())
        CHECK(std::find(allowed.begin(), allowed.end(), revision) != allowed.end());

    fleet.setStoreDown(true);
    fleet.killScheduler(0);
    fleet.killRouter(0);
    fleet.run(absl::Seconds(2));
    fleet.startScheduler(0);
    fleet.startRouter(0);
    fleet.run(absl::Seconds(15));
    for (const std::int64_t revision : fleet.revisions())
        CHECK(std::find(allowed.begin(), allowed.end(), revision) != allowed.end());
}
