#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <string>

namespace quetzal {

/**
 * The order in which the workspaces of one service are served (start-time fair queueing).
 *
 * A workspace's virtual time is its total charge over its share plus its lift. The backlogged
 * workspace with the least virtual time is next; ties go to the lesser name. A workspace that
 * becomes backlogged is lifted to the least virtual time of the backlogged, so that idling earns
 * no credit. Charges are estimates at dispatch, corrected later by settle().
 */
class fair_order
{
public:
    /** Sets a workspace's share, which must be positive; creates the workspace. */
    void setShare(const std::string &workspace, double share);
    /** Says whether the workspace has waiting requests. */
    void setBacklogged(const std::string &workspace, bool backlogged);
    /** The backlogged workspace to serve next among those that isEligible accepts. */
    std::optional<std::string>
    next(const std::function<bool(const std::string &)> &isEligible) const;
    /** Adds a charge in the service's unit; negative to give back. */
    void charge(const std::string &workspace, double amount);
    /** Total charged at other shards, which replaces the earlier value. */
    void setRemoteTotal(const std::string &workspace, double total);
    /** Raises the lift to at least this value, as another shard has seen. */
    void raiseLift(const std::string &workspace, double lift);

    /** Charges of this shard since it began. */
    double charged(const std::string &workspace) const;
    double lift(const std::string &workspace) const;
    double virtualTime(const std::string &workspace) const;
    bool isBacklogged(const std::string &workspace) const;
    /** The least virtual time of the backlogged; the last one when none is. */
    double systemVirtualTime() const;

private:
    struct account
    {
        double share = 1.0;
        double charged = 0.0;
        double remoteTotal = 0.0;
        double lift = 0.0;
        bool backlogged = false;
    };

    static double virtualTimeOf(const account &entry);

    absl::flat_hash_map<std::string, account> m_accounts;
    mutable double m_lastVirtualTime = 0.0;
};

} // namespace quetzal
