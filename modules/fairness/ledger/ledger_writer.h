#pragma once

#include "fairness/ledger/ledger_types.h"
#include "fairness/order/fair_order.h"

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
 */
class ledger_writer
{
public:
    /** writer is the shard and epoch; it is never used again after this object. */
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

private:
    std::string m_service;
    std::string m_writer;
    std::int64_t m_sequence = 0;
    /** Sequence of the last change of each workspace that its home has not acknowledged. */
    std::map<std::string, std::int64_t> m_unacknowledged;
    std::map<std::string, double> m_totals;
    std::map<std::string, std::int64_t> m_homeIncarnations;
};

} // namespace quetzal
