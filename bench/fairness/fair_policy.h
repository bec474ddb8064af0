#pragma once

#include "fairness/estimate_rules.h"
#include "fairness/fairness.h"
#include "fairness/workload.h"
#include "foundation/hashing/stable_hash.h"
#include "simulation/event_queue.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace quetzal::bench {

/** Returns the name of a simulated workspace. */
inline std::string workspaceName(int workspace)
{
    return "workspace-" + std::to_string(workspace);
}

/** Options for the exchange of charges between the shards of fair_policy. */
struct exchange_options
{
    /** Time that a message takes in one direction. */
    absl::Duration messageDelay = absl::Milliseconds(1);
    /** Number of ledger homes, over which the workspaces are distributed by hash. */
    int homes = 6;
    /** False to leave fair_order's capacity ratio at its default. */
    bool usesCapacityRatio = true;
    /** Messages to homes that are sent in [partitionStart, partitionEnd) are lost. */
    absl::Time partitionStart = absl::InfiniteFuture();
    absl::Time partitionEnd = absl::InfiniteFuture();
};

/**
 * Policy that runs the production fair_order and ledger in each shard, with one of the estimate
 * rules.
 */
template <estimate_rule rule_type>
class fair_policy
{
public:
    fair_policy(const workload &load, int shards, const rule_type &rule, exchange_options options)
        : m_load(&load)
        , m_emptyRule(rule)
        , m_options(options)
        , m_shardCount(shards)
    {
        for (int index = 0; index < shards; ++index)
            m_shards.push_back(makeShard(index, 1));
        for (int index = 0; index < options.homes; ++index)
            m_homes.emplace_back(1);
    }

    int partitions() const { return static_cast<int>(m_shards.size()); }

    int next(int shard)
    {
        const auto any = [](const std::string &) {
            return true;
        };
        return workspaceIndex(m_shards[shard].order.next(any).value());
    }

    /** Charges the estimated cost of a dispatched request and returns it. */
    double dispatched(int shard, const simulated_request &request)
    {
        const double estimate = m_shards[shard].rule.estimate(featuresOf(request), 0.0);
        charge(shard, request, estimate);
        return estimate;
    }

    /** Corrects the charge by the units streamed so far and returns the new charge. */
    double progressed(int shard, const simulated_request &request, double charged, double streamed)
    {
        const double estimate = m_shards[shard].rule.estimate(featuresOf(request), streamed);
        charge(shard, request, estimate - charged);
        return estimate;
    }

    /** Corrects the charge to the final cost; the rule learns from answered requests. */
    void ended(int shard, const simulated_request &request, double charged, double finalCost)
    {
        charge(shard, request, finalCost - charged);
        if (request.isAnswered)
            m_shards[shard].rule.learn(featuresOf(request), request.cost);
    }

    /**
     * Sends the changes of every shard to the homes, which answer with their totals. Does nothing
     * if there is only one shard.
     */
    void exchange(event_queue &events)
    {
        for (int index = 0; index < partitions() && partitions() > 1; ++index) {
            shard_state &shard = m_shards[index];
            const auto homeOf = [this](const std::string &name) {
                return std::to_string(stableHash(name) % m_homes.size());
            };
            for (auto &[home, change] : shard.writer.collect(shard.order, homeOf))
                send(events, index, std::stoi(home), change);
        }
    }

    /** Replaces the owner of a shard by one with a new epoch and without any state. */
    void loseOwner(int shard) { m_shards[shard] = makeShard(shard, ++m_epoch); }

    /** Restarts a home without any state, as a new incarnation. */
    void loseHome(int home)
    {
        m_homes[home] = ledger_home(++m_incarnation);
        for (shard_state &shard : m_shards)
            shard.writer.onHomeIncarnation(std::to_string(home), m_incarnation);
    }

    /** Returns the number of messages between shards and homes since the start. */
    std::int64_t messages() const { return m_messages; }
    /** Returns the number of lines in these messages. */
    std::int64_t lines() const { return m_lines; }

private:
    struct shard_state
    {
        fair_order order;
        ledger_writer writer;
        rule_type rule;
        std::int64_t epoch = 1;
    };

    shard_state makeShard(int index, std::int64_t epoch) const
    {
        const std::string name = "shard-" + std::to_string(index);
        shard_state shard {.order = {},
                           .writer
                           = ledger_writer(m_load->name, toText(ledger_writer_name {name, epoch})),
                           .rule = m_emptyRule,
                           .epoch = epoch};
        if (m_options.usesCapacityRatio)
            shard.order.setCapacityRatio(m_shardCount);
        for (std::size_t workspace = 0; workspace < m_load->shares.size(); ++workspace) {
            const std::string label = workspaceName(static_cast<int>(workspace));
            shard.order.setShare(label, m_load->shares[workspace]);
            shard.order.setBacklogged(label, true);
        }
        return shard;
    }

    static int workspaceIndex(const std::string &name)
    {
        return std::stoi(name.substr(name.rfind('-') + 1));
    }

    static cost_features featuresOf(const simulated_request &request)
    {
        return {.workspace = workspaceName(request.workspace),
                .requestKind = request.kind,
                .hint = request.hint};
    }

    void charge(int shard, const simulated_request &request, double amount)
    {
        if (amount == 0.0)
            return;
        m_shards[shard].order.charge(workspaceName(request.workspace), amount);
        m_shards[shard].writer.touch(workspaceName(request.workspace));
    }

    void countMessage(std::size_t lines)
    {
        ++m_messages;
        m_lines += static_cast<std::int64_t>(lines);
    }

    bool isPartitioned(absl::Time now) const
    {
        return now >= m_options.partitionStart && now < m_options.partitionEnd;
    }

    void send(event_queue &events, int shard, int home, const ledger_change &change)
    {
        countMessage(change.lines.size());
        if (isPartitioned(events.now()))
            return;
        events.after(m_options.messageDelay, [this, &events, shard, home, change] {
            m_homes[home].advance(events.now());
            const ledger_answer answer = m_homes[home].onChange(change);
            countMessage(answer.lines.size());
            events.after(m_options.messageDelay, [this, shard, home, answer] {
                m_shards[shard].writer.onAnswer(std::to_string(home), answer,
                                                m_shards[shard].order);
            });
        });
    }

    const workload *m_load;
    rule_type m_emptyRule;
    exchange_options m_options;
    int m_shardCount;
    std::vector<shard_state> m_shards;
    std::vector<ledger_home> m_homes;
    std::int64_t m_epoch = 1;
    std::int64_t m_incarnation = 1;
    std::int64_t m_messages = 0;
    std::int64_t m_lines = 0;
};

} // namespace quetzal::bench
