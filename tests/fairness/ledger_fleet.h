#pragma once

#include "fairness/fairness.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace quetzal::test {

/** Writers and homes of one service joined by a queue that the test delivers as it likes. */
class ledger_fleet
{
public:
    static constexpr int shardCount = 3;
    static constexpr int homeCount = 2;
    static constexpr int workspaceCount = 3;

    /** One shard's owner and the charges that the oracle has seen of it. */
    struct shard
    {
        std::int64_t epoch = 1;
        fair_order order;
        std::unique_ptr<ledger_writer> writer;
    };
    struct packet
    {
        int shard = 0;
        int home = 0;
        ledger_change change;
        ledger_answer answer;
        bool isAnswer = false;
        absl::Time sent;
    };

    ledger_fleet()
    {
        for (int index = 0; index < shardCount; ++index)
            startWriter(index);
        for (int index = 0; index < homeCount; ++index)
            startHome(index);
    }

    static std::string workspace(int index) { return "w" + std::to_string(index); }

    void charge(int at, int index, double amount)
    {
        shards[at].order.charge(workspace(index), amount);
        shards[at].writer->touch(workspace(index));
        m_liveCharges[{at, workspace(index)}] += amount;
    }

    void setBacklogged(int at, int index, bool backlogged)
    {
        shards[at].order.setBacklogged(workspace(index), backlogged);
    }

    void exchange(int at)
    {
        const auto homeOf = [this](const std::string &name) {
            return homeName(homeIndex(name));
        };
        for (auto &[home, change] : shards[at].writer->collect(shards[at].order, homeOf))
            queue.push_back({.shard = at,
                             .home = home == homeName(0) ? 0 : 1,
                             .change = change,
                             .answer = {},
                             .isAnswer = false,
                             .sent = m_now});
    }

    /** One shard's exchange with every message delivered at once. */
    void exchangeAndDeliver(int at)
    {
        exchange(at);
        while (!queue.empty())
            deliver(0, false);
    }

    /** Delivers a packet; it may be delivered again when keep is true. */
    void deliver(std::size_t index, bool keep)
    {
        const packet taken = queue[index];
        if (!keep)
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
        if (taken.isAnswer)
            shards[taken.shard].writer->onAnswer(homeName(taken.home), taken.answer,
                                                 shards[taken.shard].order);
        else
            deliverChange(taken);
    }

    void drop(std::size_t index)
    {
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
    }

    /**
     * The owner of a shard is lost, its charges too unless a home has them; its successor begins a
     * new writer at zero. The last shard's owner stays: the loss of a home and of every owner
     * before one of them has refilled it leaves nobody who knows the total.
     */
    void replaceWriter(int at)
    {
        if (at == shardCount - 1)
            return;
        for (int index = 0; index < workspaceCount; ++index) {
            m_endedCharges[workspace(index)]
                += m_receivedCharges[{writerName(at), workspace(index)}];
            m_liveCharges[{at, workspace(index)}] = 0.0;
        }
        std::erase_if(queue, [at](const packet &item) { return item.shard == at; });
        ++shards[at].epoch;
        startWriter(at);
    }

    /** A home is lost while messages are on their way, which may cost up to what they carry. */
    void loseHome(int index)
    {
        for (int name = 0; name < workspaceCount; ++name)
            for (int at = 0; at < shardCount && homeIndex(workspace(name)) == index; ++at)
                slack[name] += std::abs(totalAt(at, name) - expectedTotal(name))
                    + std::abs(totalAt(at, name) - homes[index]->total("service", workspace(name)));
        startHome(index);
    }

    /** A home starts again without what it knew. */
    void startHome(int index)
    {
        homes[index] = std::make_unique<ledger_home>(
            ++m_incarnations[index], ledger_home_options {.idleExpiry = absl::InfiniteDuration()});
        homes[index]->advance(m_now);
        for (shard &item : shards)
            item.writer->onHomeIncarnation(homeName(index), m_incarnations[index]);
    }

    void moveHomes()
    {
        m_moved = !m_moved;
        for (shard &item : shards)
            item.writer->onHomesMoved();
        for (int index = 0; index < homeCount; ++index)
            homes[index]->retain([&](const std::string &name) { return homeIndex(name) == index; });
    }

    /** Lets time pass; messages do not outlive maxAge. */
    void advanceTime(absl::Duration duration)
    {
        m_now += duration;
        const absl::Duration maxAge = absl::Seconds(10);
        std::erase_if(queue, [&](const packet &item) { return item.sent + maxAge < m_now; });
        for (auto &home : homes)
            home->advance(m_now);
    }

    /** Every shard asks about every workspace and every message arrives, until all is quiet. */
    void exchangeUntilStable()
    {
        constexpr int rounds = 4;
        for (int round = 0; round < rounds; ++round) {
            for (int at = 0; at < shardCount; ++at) {
                for (int index = 0; index < workspaceCount; ++index)
                    setBacklogged(at, index, true);
                exchange(at);
            }
            while (!queue.empty())
                deliver(0, false);
        }
    }

    /** The oracle: all that live writers charged and all that was received of ended ones. */
    double expectedTotal(int index) const
    {
        double sum = 0.0;
        if (const auto found = m_endedCharges.find(workspace(index)); found != m_endedCharges.end())
            sum += found->second;
        for (const auto &[name, amount] : m_liveCharges)
            sum += name.second == workspace(index) ? amount : 0.0;
        return sum;
    }

    double totalAt(int at, int index) const
    {
        return shards[at].order.virtualCharged(workspace(index))
            + shards[at].order.remoteTotal(workspace(index));
    }

    int homeIndex(const std::string &name) const
    {
        return (name.back() - '0' + (m_moved ? 1 : 0)) % homeCount;
    }

    std::array<shard, shardCount> shards;
    std::array<std::unique_ptr<ledger_home>, homeCount> homes;
    std::vector<packet> queue;
    /** How far totals may be off after homes were lost while messages were on their way. */
    std::array<double, workspaceCount> slack {};

private:
    static std::string homeName(int index) { return "vm-" + std::to_string(index); }

    std::string writerName(int at) const
    {
        return toText(ledger_writer_name {"shard-" + std::to_string(at), shards[at].epoch});
    }

    void startWriter(int at)
    {
        shards[at].order = fair_order();
        shards[at].writer = std::make_unique<ledger_writer>("service", writerName(at));
    }

    void deliverChange(const packet &taken)
    {
        std::int64_t &last = m_lastSequence[{taken.change.writer, taken.home}];
        if (taken.change.sequence >= last)
            for (const ledger_line &line : taken.change.lines)
                m_receivedCharges[{taken.change.writer, line.workspace}] = line.charged;
        last = std::max(last, taken.change.sequence);
        const ledger_answer answer = homes[taken.home]->onChange(taken.change);
        queue.push_back({.shard = taken.shard,
                         .home = taken.home,
                         .change = {},
                         .answer = answer,
                         .isAnswer = true,
                         .sent = m_now});
    }

    absl::Time m_now = absl::UnixEpoch();
    std::array<std::int64_t, homeCount> m_incarnations {};
    bool m_moved = false;
    std::map<std::pair<int, std::string>, double> m_liveCharges;
    std::map<std::pair<std::string, std::string>, double> m_receivedCharges;
    std::map<std::pair<std::string, int>, std::int64_t> m_lastSequence;
    std::map<std::string, double> m_endedCharges;
};

} // namespace quetzal::test
