#include "scheduling/shard/demand_table.h"

#include <algorithm>

namespace quetzal {

std::set<std::string> demand_table::replace(const std::string &router,
                                            const protocol::service_demand &demand)
{
    std::set<std::string> changed = removeRouter(router);
    changed.merge(update(router, demand));
    return changed;
}

std::set<std::string> demand_table::update(const std::string &router,
                                           const protocol::service_demand &demand)
{
    std::set<std::string> changed;
    for (const protocol::workspace_demand &item : demand.workspaces) {
        changed.insert(item.workspace);
        auto &byRouter = m_byWorkspace[item.workspace];
        if (item.waiting > 0)
            byRouter[router] = {.waiting = item.waiting,
                                .unreportedGrants = 0,
                                .headKind = item.headKind,
                                .headHint = item.headHint};
        else
            byRouter.erase(router);
        if (byRouter.empty())
            m_byWorkspace.erase(item.workspace);
    }
    return changed;
}

void demand_table::clearUnreportedGrants(const std::string &router)
{
    for (auto &[workspace, byRouter] : m_byWorkspace) {
        const auto found = byRouter.find(router);
        if (found != byRouter.end())
            found->second.unreportedGrants = 0;
    }
}

std::set<std::string> demand_table::removeRouter(const std::string &router)
{
    std::set<std::string> changed;
    for (auto &[workspace, byRouter] : m_byWorkspace) {
        if (byRouter.erase(router) > 0)
            changed.insert(workspace);
    }
    std::erase_if(m_byWorkspace, [](const auto &item) { return item.second.empty(); });
    return changed;
}

void demand_table::addUnreportedGrants(const std::string &workspace, const std::string &router,
                                       int count)
{
    const auto byRouter = m_byWorkspace.find(workspace);
    if (byRouter == m_byWorkspace.end())
        return;
    const auto found = byRouter->second.find(router);
    if (found != byRouter->second.end())
        found->second.unreportedGrants += count;
}

bool demand_table::hasPendingRequests(const std::string &workspace) const
{
    const auto byRouter = m_byWorkspace.find(workspace);
    return byRouter != m_byWorkspace.end()
        && std::any_of(byRouter->second.begin(), byRouter->second.end(),
                       [](const auto &item) { return item.second.waiting > 0; });
}

bool demand_table::hasUngranted(const std::string &workspace) const
{
    return routerToServe(workspace).has_value();
}

std::optional<std::string> demand_table::routerToServe(const std::string &workspace) const
{
    const auto byRouter = m_byWorkspace.find(workspace);
    if (byRouter == m_byWorkspace.end())
        return std::nullopt;
    std::optional<std::string> best;
    int maxUngranted = 0;
    for (const auto &[router, demand] : byRouter->second) {
        const int ungranted = demand.waiting - demand.unreportedGrants;
        if (ungranted <= maxUngranted)
            continue;
        maxUngranted = ungranted;
        best = router;
    }
    return best;
}

const router_demand *demand_table::find(const std::string &workspace,
                                        const std::string &router) const
{
    const auto byRouter = m_byWorkspace.find(workspace);
    if (byRouter == m_byWorkspace.end())
        return nullptr;
    const auto found = byRouter->second.find(router);
    return found == byRouter->second.end() ? nullptr : &found->second;
}

} // namespace quetzal
