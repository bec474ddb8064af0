#include "ledger_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace quetzal;
using quetzal::test::ledger_fleet;

namespace {

enum class action
{
    Charge,
    GiveBack,
    Backlog,
    Exchange,
    Deliver,
    Duplicate,
    Drop,
    ReplaceWriter,
    AdvanceTime,
    RestartIdleHome,
    MoveIdleHomes,
    LoseHome,
};

struct step
{
    action what = action::Charge;
    int shard = 0;
    int workspace = 0;
    int amount = 0;
};

std::ostream &operator<<(std::ostream &out, const step &item)
{
    return out << "{action " << static_cast<int>(item.what) << ", shard " << item.shard
               << ", workspace " << item.workspace << ", amount " << item.amount << "}";
}

rc::Gen<step> anyStep(const std::vector<action> &actions)
{
    return rc::gen::build<step>(
        rc::gen::set(&step::what, rc::gen::elementOf(actions)),
        rc::gen::set(&step::shard, rc::gen::inRange(0, ledger_fleet::shardCount)),
        rc::gen::set(&step::workspace, rc::gen::inRange(0, ledger_fleet::workspaceCount)),
        rc::gen::set(&step::amount, rc::gen::inRange(1, 1000)));
}

void applyToQueue(ledger_fleet &fleet, const step &item)
{
    if (fleet.queue.empty())
        return;
    const std::size_t index = static_cast<std::size_t>(item.amount) % fleet.queue.size();
    if (item.what == action::Drop)
        fleet.drop(index);
    else
        fleet.deliver(index, item.what == action::Duplicate);
}

void apply(ledger_fleet &fleet, const step &item)
{
    switch (item.what) {
    case action::Charge:
        return fleet.charge(item.shard, item.workspace, item.amount);
    case action::GiveBack:
        return fleet.charge(item.shard, item.workspace, -0.5 * item.amount);
    case action::Backlog:
        return fleet.setBacklogged(item.shard, item.workspace, item.amount % 2 == 0);
    case action::Exchange:
        return fleet.exchange(item.shard);
    case action::Deliver:
    case action::Duplicate:
    case action::Drop:
        return applyToQueue(fleet, item);
    case action::ReplaceWriter:
        return fleet.replaceWriter(item.shard);
    case action::AdvanceTime:
        return fleet.advanceTime(absl::Milliseconds(50 * item.amount));
    case action::RestartIdleHome:
        fleet.exchangeUntilStable();
        return fleet.startHome(item.shard % ledger_fleet::homeCount);
    case action::MoveIdleHomes:
        fleet.exchangeUntilStable();
        return fleet.moveHomes();
    case action::LoseHome:
        return fleet.loseHome(item.shard % ledger_fleet::homeCount);
    }
}

void checkTotals(const ledger_fleet &fleet)
{
    constexpr double tolerance = 1e-6;
    for (int at = 0; at < ledger_fleet::shardCount; ++at)
        for (int index = 0; index < ledger_fleet::workspaceCount; ++index)
            RC_ASSERT(std::abs(fleet.totalAt(at, index) - fleet.expectedTotal(index))
                      < fleet.slack[index] + tolerance);
}

void checkVirtualTimesAgree(const ledger_fleet &fleet)
{
    constexpr double tolerance = 1e-6;
    for (int at = 1; at < ledger_fleet::shardCount; ++at)
        for (int index = 0; index < ledger_fleet::workspaceCount; ++index) {
            const std::string name = ledger_fleet::workspace(index);
            RC_ASSERT(std::abs(fleet.shards[at].order.virtualTime(name)
                               - fleet.shards[0].order.virtualTime(name))
                      < tolerance);
        }
}

const std::vector<action> lossyActions {action::Charge,   action::Charge,     action::GiveBack,
                                        action::Exchange, action::Exchange,   action::Deliver,
                                        action::Deliver,  action::Deliver,    action::Duplicate,
                                        action::Drop,     action::AdvanceTime};

std::vector<action> withFaults(std::initializer_list<action> faults)
{
    std::vector<action> actions = lossyActions;
    actions.insert(actions.end(), faults);
    return actions;
}

void checkAgainstOracle(const std::vector<action> &actions)
{
    constexpr int maxSteps = 120;
    const auto length = *rc::gen::inRange(1, maxSteps);
    const auto steps = *rc::gen::container<std::vector<step>>(length, anyStep(actions));
    ledger_fleet fleet;
    fleet.exchangeUntilStable();
    for (const step &item : steps)
        apply(fleet, item);
    fleet.exchangeUntilStable();
    checkTotals(fleet);
    checkVirtualTimesAgree(fleet);
}

} // namespace

TEST_CASE("the ledger's totals equal the sum of charges over a lossy queue")
{
    CHECK(rc::check("without lost owners and homes", [] { checkAgainstOracle(lossyActions); }));
    CHECK(rc::check("with lost owners, lost homes and moved homes", [] {
        checkAgainstOracle(withFaults({action::Backlog, action::ReplaceWriter,
                                       action::RestartIdleHome, action::MoveIdleHomes}));
    }));
    CHECK(rc::check("a home lost during traffic costs at most the unreported charges", [] {
        checkAgainstOracle(withFaults({action::Backlog, action::LoseHome}));
    }));
}

SCENARIO("a workspace lifted by two shards concurrently is lifted only once")
{
    ledger_fleet fleet;
    fleet.exchangeUntilStable();
    fleet.charge(0, 0, 900.0);
    fleet.charge(1, 1, 600.0);
    for (int at = 0; at < ledger_fleet::shardCount; ++at)
        fleet.setBacklogged(at, 2, false);
    for (int round = 0; round < 2; ++round)
        for (int at = 0; at < ledger_fleet::shardCount; ++at)
            fleet.exchangeAndDeliver(at);

    GIVEN("the idle workspace becomes backlogged at two shards before either informs its home")
    {
        fleet.setBacklogged(0, 2, true);
        fleet.setBacklogged(1, 2, true);
        fleet.exchangeUntilStable();
        THEN("it has the lowest virtual time of the backlogged workspaces at every shard")
        {
            for (const auto &shard : fleet.shards)
                CHECK(shard.order.virtualTime(ledger_fleet::workspace(2)) == 600.0);
        }
    }
}

SCENARIO("a new owner and a new home without the totals do not leave a workspace lifted too far")
{
    ledger_fleet fleet;
    for (int index = 0; index < ledger_fleet::workspaceCount; ++index)
        fleet.charge(0, index, 1000.0);
    fleet.exchangeUntilStable();

    GIVEN("a new owner that knows the backlogged workspace only, and a home that knows nothing")
    {
        fleet.replaceWriter(1);
        fleet.setBacklogged(1, 0, true);
        fleet.exchangeAndDeliver(1);
        REQUIRE(fleet.shards[1].order.virtualTime(ledger_fleet::workspace(0)) == 1000.0);
        fleet.startHome(1);
        fleet.setBacklogged(1, 1, true);
        fleet.exchangeAndDeliver(1);
        REQUIRE(fleet.shards[1].order.lift(ledger_fleet::workspace(1)) == 1000.0);

        WHEN("the owners that know the total restore the home")
        {
            fleet.exchangeUntilStable();
            THEN("the lift is reverted at every shard, because the total is known again")
            {
                for (const auto &shard : fleet.shards)
                    CHECK(shard.order.virtualTime(ledger_fleet::workspace(1)) == 1000.0);
            }
        }
    }
}

SCENARIO("a charge made while the home's answer is in flight is counted")
{
    ledger_fleet fleet;
    fleet.exchangeUntilStable();
    fleet.charge(0, 0, 100.0);
    fleet.exchange(0);
    fleet.charge(0, 0, 30.0);
    while (!fleet.queue.empty())
        fleet.deliver(0, false);
    CHECK(fleet.totalAt(0, 0) == 130.0);
}

SCENARIO("out-of-order messages do not restore old values")
{
    ledger_fleet fleet;
    fleet.exchangeUntilStable();

    WHEN("a newer change reaches the home before an older one")
    {
        fleet.charge(0, 0, 100.0);
        fleet.exchange(0);
        fleet.charge(0, 0, -60.0);
        fleet.exchange(0);
        REQUIRE(fleet.queue.size() == 4);
        while (!fleet.queue.empty())
            fleet.deliver(fleet.queue.size() - 1, false);
        fleet.exchangeAndDeliver(1);
        THEN("the older one is ignored")
        {
            CHECK(fleet.totalAt(1, 0) == 40.0);
        }
    }
    WHEN("a newer answer reaches the writer before an older one")
    {
        fair_order order;
        ledger_writer writer("s", "shard#1");
        writer.touch("w");
        writer.collect(order, [](const std::string &) { return std::string("vm"); });
        ledger_answer answer {.service = "s",
                              .writer = "shard#1",
                              .homeIncarnation = 1,
                              .acknowledgedSequence = 1,
                              .lines = {{.workspace = "w", .charged = 30.0}},
                              .version = 2};
        writer.onAnswer("vm", answer, order);
        answer.lines.front().charged = 10.0;
        answer.version = 1;
        writer.onAnswer("vm", answer, order);
        THEN("the older one is ignored")
        {
            CHECK(order.remoteTotal("w") == 30.0);
        }
    }
}

SCENARIO("memory stays bounded")
{
    ledger_home home(1, {.foldDelay = absl::Seconds(30), .idleExpiry = absl::Minutes(5)});
    absl::Time now = absl::UnixEpoch();
    home.advance(now);

    GIVEN("a shard that changes its owner a hundred times")
    {
        constexpr int owners = 100;
        for (int epoch = 1; epoch <= owners; ++epoch) {
            ledger_change change {.service = "s",
                                  .writer = toText(ledger_writer_name {"shard", epoch}),
                                  .sequence = 1,
                                  .lines = {{.workspace = "w", .charged = 7.0}}};
            home.onChange(change);
            now += absl::Seconds(40);
            home.advance(now);
        }
        THEN("ended owners are folded and their charges are kept")
        {
            CHECK(home.writerCount() <= 2);
            CHECK(home.total("s", "w") == 7.0 * owners);
        }
        WHEN("a message of an ended owner arrives very late")
        {
            home.onChange({.service = "s",
                           .writer = "shard#1",
                           .sequence = 1,
                           .lines = {{.workspace = "w", .charged = 7.0}}});
            THEN("it does not count a second time")
            {
                CHECK(home.total("s", "w") == 700.0);
            }
        }
        WHEN("no writer mentions the workspace for longer than the idle expiry")
        {
            home.advance(now + absl::Minutes(6));
            THEN("its account is removed")
            {
                CHECK(home.size() == 0);
            }
        }
    }
}

SCENARIO("an idle workspace whose account was removed returns without credit")
{
    ledger_home home(1);
    absl::Time now = absl::UnixEpoch();
    home.advance(now);
    const auto homeOf = [](const std::string &) {
        return std::string("vm");
    };
    fair_order order;
    ledger_writer writer("s", "shard#1");
    const auto exchange = [&] {
        for (const auto &[name, change] : writer.collect(order, homeOf))
            writer.onAnswer(name, home.onChange(change), order);
    };
    order.setBacklogged("busy", true);
    order.setBacklogged("idle", true);
    order.charge("busy", 50.0);
    order.charge("idle", 40.0);
    exchange();
    order.setBacklogged("idle", false);
    order.charge("busy", 1000.0);
    writer.touch("busy");

    WHEN("its account expires and the workspace becomes backlogged again")
    {
        now += absl::Minutes(6);
        home.advance(now);
        exchange();
        REQUIRE(home.size() == 1);
        order.setBacklogged("idle", true);
        exchange();
        exchange();
        THEN("its charges are restored and its virtual time equals that of the busy one")
        {
            CHECK(home.total("s", "idle") == 40.0);
            CHECK(order.virtualTime("idle") == order.virtualTime("busy"));
        }
    }
}
