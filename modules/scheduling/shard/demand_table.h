#pragma once

#include "protocol/messages/message.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzal {

/** What waits at one router for one workspace. */
struct router_demand
{
    /** Requests waiting by the router's last report. */
    int waiting = 0;
    /** Grants of this shard that the report did not know yet. */
    int pending = 0;
    std::string headKind;
    double headHint = 0.0;

    bool operator==(const router_demand &) const = default;
};

/** The waiting requests of one service at every router, by workspace. */
class demand_table
{
public:
    /** Replaces everything known of a router. Returns the workspaces whose demand has changed. */
    std::set<std::string> replace(const std::string &router,
                                  const protocol::service_demand &demand);
    /** Replaces what is known of a router for the listed workspaces only. */
    std::set<std::string> update(const std::string &router, const protocol::service_demand &demand);
    /** Sets the grants under way to a router to zero. */
    void clearPending(const std::string &router);
    /** Forgets a router. Returns the workspaces that waited there. */
    std::set<std::string> removeRouter(const std::string &router);
    /** Counts a grant that the router has not seen yet, or with -1 one that it has. */
    void addPending(const std::string &workspace, const std::string &router, int count);

    /** True when requests of the workspace wait anywhere. */
    bool isWaiting(const std::string &workspace) const;
    /** True when a request waits for which no grant is under way. */
    bool hasUngranted(const std::string &workspace) const;
    /** The router with the most requests without a grant under way; nothing when there is none. */
    std::optional<std::string> routerToServe(const std::string &workspace) const;
    /** What waits at a router; null when nothing is known. */
    const router_demand *find(const std::string &workspace, const std::string &router) const;

private:
    std::map<std::string, std::map<std::string, router_demand>> m_byWorkspace;
};

} // namespace quetzal
