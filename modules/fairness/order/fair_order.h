#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/node_hash_map.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quetzal {

/**
 * The order in which the workspaces of one service are served (start-time fair queueing).
 *
 * Each charge counts as amount over share, at the share of that moment, so that a later change of
 * the share does not rewrite the past. A workspace's virtual time is the sum of these virtual
 * charges, here and at other shards, plus its lift. The backlogged workspace with the least
 * virtual time is next. Until the other shards know them, own charges count once for each shard;
 * see setCapacityRatio(). Ties go to the lesser name. A workspace that becomes backlogged is lifted
 * to the least virtual time of the backlogged, so that idling earns no credit. Charges are
 * estimates at dispatch, corrected by a later charge of the difference.
 *
 * The backlogged are kept in an ordered index: next() costs a step for each workspace refused by
 * isEligible, every change costs the logarithm of the backlogged.
 */
class fair_order
{
public:
    /** Sets a workspace's share, which must be positive; creates the workspace. */
    void setShare(const std::string &workspace, double share);
    /**
     * Makes next() see the workspace's virtual time higher by this offset, which is not negative.
     *
     * Shards that give the same workspace different offsets don't all serve it at once when their
     * totals lag. Lifts and virtualTime() are not affected.
     */
    void setDispatchOffset(const std::string &workspace, double offset);
    /** Forgets a workspace that the configuration no longer names. */
    void remove(const std::string &workspace);
    /** Says whether the workspace has waiting requests. */
    void setBacklogged(const std::string &workspace, bool backlogged);
    /** The backlogged workspace to serve next among those that isEligible accepts. */
    std::optional<std::string>
    next(const std::function<bool(const std::string &)> &isEligible) const;
    /** Adds a charge in the service's unit; negative to give back. */
    void charge(const std::string &workspace, double amount);
    /** Virtual charges of the other shards, which replace the earlier value. */
    void setRemoteTotal(const std::string &workspace, double total);
    /**
     * As setRemoteTotal(), and says which part of this shard's own virtual charges was known to
     * the other shards at that time.
     */
    void setRemoteTotal(const std::string &workspace, double total, double ownAcknowledged);
    /**
     * Capacity of all shards of the service over this shard's; at least 1, which is the default.
     *
     * Own charges that the other shards do not know yet count this many times, because the others
     * are taken to charge alike in the meantime. Without it every shard makes up for the same lag
     * in full, and the shards together overshoot by the number of shards at each exchange.
     */
    void setCapacityRatio(double ratio);
    /** Raises the lift to at least this value, as another shard has seen. */
    void raiseLift(const std::string &workspace, double lift);
    /** Replaces the lift, which may fall when the total turns out to be higher than was known. */
    void setLift(const std::string &workspace, double lift);

    /** Charges of this shard since it began, in the service's unit. */
    double charged(const std::string &workspace) const;
    /** Charges of this shard since it began, each over the share of its moment. */
    double virtualCharged(const std::string &workspace) const;
    /** Virtual charges of the other shards as last set. */
    double remoteTotal(const std::string &workspace) const;
    double lift(const std::string &workspace) const;
    double virtualTime(const std::string &workspace) const;
    bool isBacklogged(const std::string &workspace) const;
    /** The backlogged workspaces in the order in which next() considers them. */
    std::vector<std::string> backlogged() const;
    /** The least virtual time of the backlogged; the last one when none is. */
    double systemVirtualTime() const;

private:
    struct account
    {
        double share = 1.0;
        double charged = 0.0;
        double virtualCharged = 0.0;
        double remoteTotal = 0.0;
        double ownAcknowledged = 0.0;
        double lift = 0.0;
        double dispatchOffset = 0.0;
        bool backlogged = false;
    };
    using account_map = absl::node_hash_map<std::string, account>;

    double virtualTimeOf(const account &entry) const;
    const account *find(const std::string &workspace) const;
    /** Applies a change to an account and keeps the index in step. */
    template <typename change_function>
    void update(const std::string &workspace, change_function change);

    account_map m_accounts;
    using index = absl::btree_set<std::pair<double, std::string_view>>;

    /** Virtual time and name of each backlogged workspace; the names are keys of m_accounts. */
    index m_backlogged;
    /** The same with the turn offsets added: the order of next(). */
    index m_dispatchOrder;
    double m_lastVirtualTime = 0.0;
    double m_capacityRatio = 1.0;
};

} // namespace quetzal
