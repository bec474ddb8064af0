#pragma once

#include "protocol/messages/message.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzal {

/** The pending requests of one workspace at one router. */
struct router_demand
{
    /** Number of pending requests in the router's last report. */
    int waiting = 0;
    /** Number of grants of this shard that the report does not reflect yet. */
    int unreportedGrants = 0;
    /** Kind and cost hint of the first pending request. */
    std::string headKind;
    double headHint = 0.0;

    bool operator==(const router_demand &) const = default;
};

/** The pending requests of one service at all routers, by workspace. */
class demand_table
{
public:
    /**
     * Replaces the demand of a router for all workspaces. Returns the workspaces whose demand may
     * have changed.
     */
    std::set<std::string> replace(const std::string &router,
                                  const protocol::service_demand &demand);
    /** Replaces the demand of a router for the listed workspaces only, and returns these. */
    std::set<std::string> update(const std::string &router, const protocol::service_demand &demand);
    /** Sets the number of unreported grants to a router to zero for all workspaces. */
    void clearUnreportedGrants(const std::string &router);
    /** Removes a router. Returns the workspaces that had pending requests there. */
    std::set<std::string> removeRouter(const std::string &router);
    /**
     * Adds to the number of grants that the router has not reported yet; -1 removes one that it
     * has.
     */
    void addUnreportedGrants(const std::string &workspace, const std::string &router, int count);

    /** True if any router has pending requests of the workspace. */
    bool hasPendingRequests(const std::string &workspace) const;
    /** True if a router has more pending requests of the workspace than unreported grants. */
    bool hasUngranted(const std::string &workspace) const;
    /**
     * Returns the router with the most pending requests for which no grant has been sent, or
     * nothing if there is none.
     */
    std::optional<std::string> routerToServe(const std::string &workspace) const;
    /** Returns the demand of a workspace at a router; null if there is none. */
    const router_demand *find(const std::string &workspace, const std::string &router) const;

private:
    std::map<std::string, std::map<std::string, router_demand>> m_byWorkspace;
};

} // namespace quetzal
