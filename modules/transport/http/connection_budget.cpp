#include "transport/http/connection_budget.h"

#include "foundation/errors/precondition.h"

namespace quetzal {

connection_budget::connection_budget(connection_budget_options options)
    : m_options(options)
{
}

bool connection_budget::tryAcquire(const std::string &workspace)
{
    if (m_used >= m_options.maxConnections || usedBy(workspace) >= m_options.maxPerWorkspace)
        return false;
    ++m_usedBy[workspace];
    ++m_used;
    return true;
}

void connection_budget::release(const std::string &workspace)
{
    const auto found = m_usedBy.find(workspace);
    QUETZAL_PRECONDITION(found != m_usedBy.end());
    --m_used;
    if (--found->second == 0)
        m_usedBy.erase(found);
}

std::size_t connection_budget::usedBy(const std::string &workspace) const
{
    const auto found = m_usedBy.find(workspace);
    return found == m_usedBy.end() ? 0 : found->second;
}

} // namespace quetzal
