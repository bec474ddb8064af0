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
 * Determines the order in which the workspaces of one service are served, by start-time fair
 * queueing.
 *
 * Each charge is divided by the workspace's share at that moment, so that a later change of the
 * share does not alter earlier charges. A workspace's virtual time is the sum of these virtual
 * charges, at this shard and at the other shards, plus its lift. The backlogged workspace with the
 * lowest virtual time is served next; ties go to the name that sorts first. Until the other shards
 * know of them, this shard's own charges count once for each shard; see setCapacityRatio(). When a
 * workspace becomes backlogged, its lift is raised so that it starts at the lowest virtual time of
 * the backlogged workspaces. Being idle therefore earns no credit. Requests are charged their
 * estimated cost at dispatch, which a later charge of the difference corrects.
 *
 * The backlogged workspaces are kept in an ordered index: next() takes one step for each workspace
 * that isEligible rejects, and every change takes time logarithmic in the number of backlogged
 * workspaces.
 */
class fair_order
{
public:
    /** Sets a workspace's share, which must be positive. Adds the workspace if it is unknown. */
    void setShare(const std::string &workspace, double share);
    /**
     * Sets a non-negative offset that next() adds to the workspace's virtual time.
     *
     * Shards that use different offsets for the same workspace do not all serve it at the same
     * time while their totals are stale. Lifts and virtualTime() are not affected.
     */
    void setDispatchOffset(const std::string &workspace, double offset);
    /** Removes a workspace that is no longer in the configuration. */
    void remove(const std::string &workspace);
    /** Sets whether the workspace has waiting requests. */
    void setBacklogged(const std::string &workspace, bool backlogged);
    /**
     * Returns the backlogged workspace to serve next among those that isEligible accepts, or
     * nothing if there is none.
     */
    std::optional<std::string>
    next(const std::function<bool(const std::string &)> &isEligible) const;
    /** Adds a charge in the service's unit; a negative amount is a refund. */
    void charge(const std::string &workspace, double amount);
    /** Sets the sum of the virtual charges of the other shards. */
    void setRemoteTotal(const std::string &workspace, double total);
    /**
     * Sets the sum of the virtual charges of the other shards, together with the part of this
     * shard's own virtual charges that the other shards knew of at that time.
     */
    void setRemoteTotal(const std::string &workspace, double total, double ownAcknowledged);
    /**
     * Sets the ratio of the capacity of all shards of the service to that of this shard. It is at
     * least 1, which is the default.
     *
     * Own charges that the other shards do not know of yet are multiplied by this ratio, because
     * the other shards are assumed to charge at the same rate in the meantime. Otherwise every
     * shard would compensate for the same lag in full, and the shards together would overshoot by
     * the number of shards at each exchange.
     */
    void setCapacityRatio(double ratio);
    /** Raises the lift to at least this value, which another shard has reported. */
    void raiseLift(const std::string &workspace, double lift);
    /** Sets the lift, which may decrease when the total turns out to be higher than was known. */
    void setLift(const std::string &workspace, double lift);

    /** Returns the sum of this shard's charges since its start, in the service's unit. */
    double charged(const std::string &workspace) const;
    /**
     * Returns the sum of this shard's charges since its start, each divided by the share at the
     * time of the charge.
     */
    double virtualCharged(const std::string &workspace) const;
    /** Returns the virtual charges of the other shards as last set. */
    double remoteTotal(const std::string &workspace) const;
    /** Returns the virtual time that has been added when the workspace became backlogged. */
    double lift(const std::string &workspace) const;
    /** Returns the workspace's virtual time, without its dispatch offset. */
    double virtualTime(const std::string &workspace) const;
    /** True if the workspace has waiting requests. */
    bool isBacklogged(const std::string &workspace) const;
    /** Returns the backlogged workspaces in ascending order of their virtual time. */
    std::vector<std::string> backlogged() const;
    /**
     * Returns the lowest virtual time of the backlogged workspaces, or its last value if no
     * workspace is backlogged.
     */
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
    /** Applies a change to an account and updates the indexes. */
    template <typename change_function>
    void update(const std::string &workspace, change_function change);

    account_map m_accounts;
    using index = absl::btree_set<std::pair<double, std::string_view>>;

    /** Virtual time and name of each backlogged workspace; the names are keys of m_accounts. */
    index m_backlogged;
    /** The same with the dispatch offsets added, which is the order used by next(). */
    index m_dispatchOrder;
    double m_lastVirtualTime = 0.0;
    double m_capacityRatio = 1.0;
};

} // namespace quetzal
