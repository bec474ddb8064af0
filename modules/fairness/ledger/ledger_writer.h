#pragma once

#include "fairness/ledger/ledger_types.h"
#include "fairness/order/fair_order.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/**
 * The part of the ledger at a shard owner. It sends this shard's charges to the homes of the
 * workspaces and applies the totals that they return to the shard's fair_order.
 *
 * Lines carry cumulative values and are resent until the home acknowledges them, so that lost,
 * duplicated and reordered messages do no harm. Every collect() requests the totals of the
 * backlogged workspaces, even if nothing has changed at this shard, because other shards may have
 * charged them. The line of a workspace is sent when the workspace becomes backlogged, and again
 * every collectsPerRefresh calls of collect() while it remains backlogged, so that its account at
 * the home does not expire.
 */
class ledger_writer
{
public:
    /** Number of collect() calls after which the line of a backlogged workspace is resent. */
    static constexpr std::int64_t collectsPerRefresh = 64;

    /**
     * Creates the writer of a shard in one epoch.
     *
     * @param service  the name of the shard's service
     * @param writer   the writer's name as returned by toText(ledger_writer_name), which must never
     *                 be used for another writer
     */
    ledger_writer(std::string service, std::string writer);

    /** Records that the workspace's charge or lift has changed. */
    void touch(const std::string &workspace);
    /**
     * Returns the changes to send now, each with the name of the home's VM. Unacknowledged lines
     * are resent with their current values.
     */
    std::vector<std::pair<std::string, ledger_change>>
    collect(const fair_order &order,
            const std::function<std::string(const std::string &workspace)> &homeOf);
    /**
     * Applies the totals of a home to the order. If the home has restarted, all of its lines will
     * be resent.
     */
    void onAnswer(const std::string &home, const ledger_answer &answer, fair_order &order);
    /**
     * Records the incarnation of a home that another kind of message reported, so that a restarted
     * home receives all of its lines early.
     */
    void onHomeIncarnation(const std::string &home, std::int64_t incarnation);
    /**
     * Records that homes may have changed. The next collect() sends the lines of the workspaces
     * that have a new home.
     */
    void onHomesChanged();

    /** Returns the number of workspaces that this writer reports to a home. */
    std::size_t size() const { return m_entries.size(); }

private:
    /** This writer's record of one workspace. */
    struct entry
    {
        std::string home;
        /** Sequence of the first collect() that carries the latest change. */
        std::int64_t changedAt = 0;
        bool acknowledged = false;
        bool wasBacklogged = false;
        double totalKnown = 0.0;
        std::int64_t totalVersion = 0;
        double included = 0.0;
        /** The lift that the home last reported. */
        double homeLift = 0.0;
        /** The lift in the order when collect() last sent the line. */
        double sentLift = 0.0;
    };
    /** The state last received from one home. */
    struct home_state
    {
        std::int64_t incarnation = 0;
        std::int64_t version = 0;
    };

    void markChanged(entry &line) const;
    void setHome(entry &line, std::string home) const;
    void recordBacklog(entry &line, bool isBacklogged) const;
    void resetHome(const std::string &home, std::int64_t incarnation);
    void acknowledge(const std::string &home, std::int64_t sequence);
    void applyLine(const ledger_line &line, fair_order &order);

    std::string m_service;
    std::string m_writer;
    std::int64_t m_sequence = 0;
    std::int64_t m_collectCount = 0;
    bool m_homesChanged = false;
    std::map<std::string, entry> m_entries;
    std::map<std::string, home_state> m_homes;
};

} // namespace quetzal
