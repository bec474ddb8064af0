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

/** The name of a workspace of the bench. */
inline std::string workspaceName(int workspace)
{
    return "workspace-" + std::to_string(workspace);
}

/** How the fair policy exchanges charges between shards. */
struct exchange_options
{
    absl::Duration messageDelay = absl::Milliseconds(1);
    int homes = 6;
    /** False to leave out fair_order::setCapacityRatio(). */
    bool usesCapacityRatio = true;
    /** Messages sent in [partitionStart, partitionEnd) are lost. */
    absl::Time partitionStart = absl::InfiniteFuture();
    absl::Time partitionEnd = absl::InfiniteFuture();
};

/** The real fair order, ledger and an estimate rule for each shard. */
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

    double dispatched(int shard, const simulated_request &request)
    {
        const double estimate = m_shards[shard].rule.estimate(featuresOf(request), 0.0);
        charge(shard, request, estimate);
        return estimate;
    }

    double progressed(int shard, const simulated_request &request, double charged, double streamed)
    {
        const double estimate = m_shards[shard].rule.estimate(featuresOf(request), streamed);
        charge(shard, request, estimate - charged);
        return estimate;
    }

    void ended(int shard, const simulated_request &request, double charged, double finalCost)
    {
        charge(shard, request, finalCost - charged);
        if (request.isAnswered)
            m_shards[shard].rule.learn(featuresOf(request), request.cost);
    }

    /** Sends every shard's changes to the homes and their totals back. */
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

    /** The owner of a shard is lost; the successor knows nothing. */
    void loseOwner(int shard) { m_shards[shard] = makeShard(shard, ++m_epoch); }

    /** A home is lost and starts again empty. */
    void loseHome(int home)
    {
        m_homes[home] = ledger_home(++m_incarnation);
        for (shard_state &shard : m_shards)
            shard.writer.onHomeIncarnation(std::to_string(home), m_incarnation);
    }

    /** Messages between shards and homes since the start. */
    std::int64_t messages() const { return m_messages; }
    /** Lines in these messages. */
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
