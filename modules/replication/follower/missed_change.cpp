#include "replication/follower/missed_change.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t minCopyAttempts = 2;
/** A fleet of this many routers, and each that is twice as large, asks one router more. */
constexpr std::size_t routersPerFurtherAttempt = 32;

/** Returns how many routers are asked before the service is. */
std::size_t copyAttempts(std::size_t routerCount)
{
    return minCopyAttempts + std::bit_width(routerCount / routersPerFurtherAttempt);
}

} // namespace

missed_change::missed_change(std::int64_t revision, std::string host, absl::Time now)
    : m_revision(revision)
    , m_host(std::move(host))
    , m_since(now)
{
}

void missed_change::onTold(std::int64_t revision, const std::string &host)
{
    if (revision > m_revision && !host.empty())
        m_host = host;
    m_revision = std::max(m_revision, revision);
}

change_source missed_change::source(std::size_t routerCount) const
{
    const std::size_t attempts = copyAttempts(routerCount);
    const std::size_t turn = m_failedSources % (attempts + 1);
    if (turn == attempts)
        return change_source::Service;
    return m_failedSources == 0 ? change_source::Sender : change_source::Peer;
}

} // namespace quetzal
