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

/**
 * The writers and homes of one service, connected by a queue whose messages the test delivers,
 * drops or duplicates in any order.
 */
class ledger_fleet
{
public:
    static constexpr int shardCount = 3;
    static constexpr int homeCount = 2;
    static constexpr int workspaceCount = 3;

    /** The owner of one shard. */
    struct shard
    {
        std::int64_t epoch = 1;
        fair_order order;
        std::unique_ptr<ledger_writer> writer;
    };
    /** A queued message: a change from a shard to a home, or the answer to it. */
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

    /** Lets one shard exchange with the homes and delivers every message immediately. */
    void exchangeAndDeliver(int at)
    {
        exchange(at);
        while (!queue.empty())
            deliver(0, false);
    }

    /** Delivers a packet, which stays in the queue if keep is true. */
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
     * Replaces the owner of a shard by a successor whose new writer starts at zero. Charges that no
     * home has received are lost. The owner of the last shard is never replaced: if a home and
     * every owner were lost before one of the owners restored the home, the total would be lost.
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

    /** Restarts a home. Charges in messages in flight may be lost, which slack accounts for. */
    void loseHome(int index)
    {
        for (int name = 0; name < workspaceCount; ++name)
            for (int at = 0; at < shardCount && homeIndex(workspace(name)) == index; ++at)
                slack[name] += std::abs(totalAt(at, name) - expectedTotal(name))
                    + std::abs(totalAt(at, name) - homes[index]->total("service", workspace(name)));
        startHome(index);
    }

    /** Restarts a home with empty accounts. */
    void startHome(int index)
    {
        homes[index] = std::make_unique<ledger_home>(
            ++m_incarnations[index], ledger_home_options {.idleExpiry = absl::InfiniteDuration()});
        homes[index]->advance(m_now);
        for (shard &item : shards)
            item.writer->onHomeIncarnation(homeName(index), m_incarnations[index]);
    }

    /** Moves each workspace from one of the two homes to the other. */
    void moveHomes()
    {
        m_moved = !m_moved;
        for (shard &item : shards)
            item.writer->onHomesChanged();
        for (int index = 0; index < homeCount; ++index)
            homes[index]->retain([&](const std::string &name) { return homeIndex(name) == index; });
    }

    /** Advances the time and drops messages older than maxAge. */
    void advanceTime(absl::Duration duration)
    {
        m_now += duration;
        const absl::Duration maxAge = absl::Seconds(10);
        std::erase_if(queue, [&](const packet &item) { return item.sent + maxAge < m_now; });
        for (auto &home : homes)
            home->advance(m_now);
    }

    /** Lets every shard request every total and delivers every message, for several rounds. */
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

    /**
     * Returns the reference total: all charges of live writers, and those of ended writers that a
     * home has received.
     */
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
    /** Permitted error of the totals after homes were restarted while messages were in flight. */
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
