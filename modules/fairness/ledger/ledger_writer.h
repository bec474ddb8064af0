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
 * The side of the ledger at a shard owner: sends this shard's charges to the homes of the
 * workspaces and takes their totals into the shard's fair_order.
 *
 * Lines carry cumulative values and are repeated until the home acknowledges them, so that loss,
 * repetition and reordering do no harm. Backlogged workspaces are asked about at every collect(),
 * also when nothing has changed here, because other shards may have charged them. The line of a
 * workspace is sent when it becomes backlogged and again every refreshInterval collects while it
 * stays so, which keeps its account alive at the home.
 */
class ledger_writer
{
public:
    /** Calls of collect() after which the line of a backlogged workspace is sent again. */
    static constexpr std::int64_t refreshInterval = 64;

    /** writer is the shard and epoch, as toText(ledger_writer_name); it is never used again. */
    ledger_writer(std::string service, std::string writer);

    /** Notes that the workspace's charge or lift has changed. */
    void touch(const std::string &workspace);
    /**
     * The changes to send now, each with the VM that is its home; unacknowledged lines are
     * repeated with their present values.
     */
    std::vector<std::pair<std::string, ledger_change>>
    collect(const fair_order &order,
            const std::function<std::string(const std::string &workspace)> &homeOf);
    /** Takes a home's totals into the order; a home that restarted is sent every line again. */
    void onAnswer(const std::string &home, const ledger_answer &answer, fair_order &order);
    /** Notes a home's incarnation as another message told it, so that it is refilled soon. */
    void onHomeIncarnation(const std::string &home, std::int64_t incarnation);
    /** Notes that homes may have moved: the next collect() sends the lines that have a new one. */
    void onHomesMoved();

    /** Workspaces that this writer has told a home of. */
    std::size_t size() const { return m_entries.size(); }

private:
    /** This writer's record of one workspace. */
    struct entry
    {
        std::string home;
        /** Sequence of the collect() that first carries the latest change. */
        std::int64_t changedAt = 0;
        bool acknowledged = false;
        bool wasBacklogged = false;
        double totalKnown = 0.0;
        std::int64_t totalVersion = 0;
        double included = 0.0;
        double homeLift = 0.0;
        /** The order's lift at the last collect(). */
        double sentLift = 0.0;
    };
    /** What has been heard from one home. */
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
    bool m_homesMoved = false;
    std::map<std::string, entry> m_entries;
    std::map<std::string, home_state> m_homes;
};

} // namespace quetzal
