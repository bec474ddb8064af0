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
    HealAndSettle,
    Count,
};

/** Returns a number below the bound, independent of the size of the test case. */
int below(int bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

/** The model state of a sequence of faults; every fault is valid in every state. */
struct fault_model
{
    int faults = 0;
};

/** Returns the maximum time from the end of all faults until each shard has a certain owner. */
absl::Duration settlingBound()
{
    const shard_ownership_options options = ownership_fleet::options(0, 1);
    const absl::Duration storeLease = absl::Ceil(options.leaseLifetime, absl::Seconds(1));
    return storeLease + options.listLag + 2 * options.requestTimeout + nodes * options.rankDelay
        + options.listLag + options.grantLifetime;
}

class fault_command : public rc::state::Command<fault_model, ownership_fleet>
{
public:
    fault_command()
        : m_fault(static_cast<fault>(below(static_cast<int>(fault::Count))))
        , m_node(below(nodes))
        , m_atOwner(below(2) == 1)
        , m_amount(below(1 << nodes))
        , m_after(absl::Milliseconds(50 * below(160)))
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
        out << "{" << static_cast<int>(m_fault) << ", node " << m_node
            << (m_atOwner ? " or owner, " : ", ") << m_amount << ", "
            << absl::FormatDuration(m_after) << "}";
    }

private:
    void inject(ownership_fleet &fleet) const
    {
        const int node = target(fleet);
        const absl::Duration delay = absl::Milliseconds(100 * m_amount);
        switch (m_fault) {
        case fault::Pause:
            return fleet.pause(node);
        case fault::Resume:
            return fleet.resume(node);
        case fault::CutStore:
            return fleet.cutStore(node, true);
        case fault::JoinStore:
            return fleet.cutStore(node, false);
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
            return fleet.loseAnswers(node, m_amount % 4);
        case fault::DelayViews:
            return fleet.delayViews(node, delay);
        case fault::OldView:
            return fleet.deliverOldView(node);
        case fault::Restart:
            return fleet.restart(node);
        case fault::Kill:
            return fleet.kill(node);
        case fault::Stop:
            return fleet.stop(node);
        case fault::HideShard:
            return fleet.hideShard(m_amount % shards, true);
        case fault::ShowShard:
            return fleet.hideShard(m_amount % shards, false);
        case fault::Heal:
            return fleet.heal();
        case fault::HealAndSettle:
            fleet.heal();
            return fleet.run(settlingBound());
        case fault::Wait:
        case fault::Count:
            return;
        }
    }

    /** Returns the node that the fault affects: the chosen one or the owner of a shard. */
    int target(const ownership_fleet &fleet) const
    {
        const std::vector<int> owners = fleet.granters(m_amount % shards);
        return m_atOwner && !owners.empty() ? owners.front() : m_node;
    }

    fault m_fault;
    int m_node;
    bool m_atOwner;
    int m_amount;
    absl::Duration m_after;
};

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
