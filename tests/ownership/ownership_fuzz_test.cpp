#include "ownership_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

using namespace quetzal;

namespace {

constexpr int nodes = 5;
constexpr int shards = 3;

enum class fault
{
    Pause,
    Resume,
    CutStore,
    JoinStore,
    Partition,
    Join,
    StopStore,
    StartStore,
    SlowStore,
    LoseAnswers,
    DelayViews,
    OldView,
    Restart,
    Kill,
    Stop,
    HideShard,
    ShowShard,
    Wait,
    Heal,
    Count,
};

/** What a sequence of faults assumes; faults are valid in every state. */
struct fault_model
{
    int faults = 0;
};

class fault_command : public rc::state::Command<fault_model, ownership_fleet>
{
public:
    fault_command()
        : m_fault(static_cast<fault>(*rc::gen::inRange(0, static_cast<int>(fault::Count))))
        , m_node(*rc::gen::inRange(0, nodes))
        , m_amount(*rc::gen::inRange(0, 1 << nodes))
        , m_after(absl::Milliseconds(50 * *rc::gen::inRange(0, 160)))
    {
    }

    void apply(fault_model &model) const override { ++model.faults; }

    void run(const fault_model & /*model*/, ownership_fleet &fleet) const override
    {
        inject(fleet);
        fleet.run(m_after);
        if (!fleet.violation().empty())
            RC_FAIL(fleet.violation());
    }

    void show(std::ostream &out) const override
    {
        out << "{" << static_cast<int>(m_fault) << ", node " << m_node << ", " << m_amount << ", "
            << absl::FormatDuration(m_after) << "}";
    }

private:
    void inject(ownership_fleet &fleet) const
    {
        const absl::Duration delay = absl::Milliseconds(100 * m_amount);
        switch (m_fault) {
        case fault::Pause:
            return fleet.pause(m_node);
        case fault::Resume:
            return fleet.resume(m_node);
        case fault::CutStore:
            return fleet.cutStore(m_node, true);
        case fault::JoinStore:
            return fleet.cutStore(m_node, false);
        case fault::Partition:
            return fleet.partition(m_amount);
        case fault::Join:
            return fleet.partition(0);
        case fault::StopStore:
            return fleet.stopStore(true);
        case fault::StartStore:
            return fleet.stopStore(false);
        case fault::SlowStore:
            return fleet.slowStore(delay / 4);
        case fault::LoseAnswers:
            return fleet.loseAnswers(m_node, m_amount % 4);
        case fault::DelayViews:
            return fleet.delayViews(m_node, delay);
        case fault::OldView:
            return fleet.deliverOldView(m_node);
        case fault::Restart:
            return fleet.restart(m_node);
        case fault::Kill:
            return fleet.kill(m_node);
        case fault::Stop:
            return fleet.stop(m_node);
        case fault::HideShard:
            return fleet.hideShard(m_amount % shards, true);
        case fault::ShowShard:
            return fleet.hideShard(m_amount % shards, false);
        case fault::Heal:
            return fleet.heal();
        case fault::Wait:
        case fault::Count:
            return;
        }
    }

    fault m_fault;
    int m_node;
    int m_amount;
    absl::Duration m_after;
};

/** Longest time from the end of all faults until each shard has one owner without doubt. */
absl::Duration settlingBound()
{
    const shard_ownership_options options = ownership_fleet::options(0, 1);
    const absl::Duration storeLease = absl::Ceil(options.leaseLifetime, absl::Seconds(1));
    return storeLease + options.listLag + 2 * options.requestTimeout + nodes * options.rankDelay
        + options.listLag + options.grantLifetime;
}

} // namespace

TEST_CASE("any sequence of faults leaves one owner and never overloads a cold target")
{
    CHECK(rc::check("ownership under faults", [] {
        const fault_model model;
        ownership_fleet fleet(nodes, shards, *rc::gen::arbitrary<std::uint64_t>());
        fleet.run(absl::Seconds(14));
        RC_ASSERT(fleet.isSettled());
        const auto commands
            = *rc::state::gen::commands(model, rc::state::gen::execOneOfWithArgs<fault_command>());
        rc::state::runAll(commands, model, fleet);
        fleet.heal();
        fleet.run(settlingBound());
        if (!fleet.violation().empty())
            RC_FAIL(fleet.violation());
        RC_ASSERT(fleet.isSettled());
    }));
}
