#include "replication/reader/reader_order.h"

#include "foundation/hashing/stable_hash.h"

#include <cmath>
#include <utility>

namespace quetzal {

namespace {

/** Longer than the time between two updates, also while the service answers slowly. */
constexpr absl::Duration minTakeoverDelay = absl::Milliseconds(1000);
/** The additional delay each time that the number of routers that read doubles. */
constexpr absl::Duration delayPerDoubling = absl::Milliseconds(100);

} // namespace

reader_order::reader_order(std::string prefix, std::string self)
    : m_prefix(std::move(prefix))
    , m_self(std::move(self))
    , m_ownWeight(rendezvousWeight(m_prefix, m_self))
{
}

bool reader_order::precedes(const std::string &vm) const
{
    const std::uint64_t weight = rendezvousWeight(m_prefix, vm);
    return weight > m_ownWeight || (weight == m_ownWeight && vm < m_self);
}

void reader_order::setRouters(const std::vector<std::string> &members)
{
    m_rank = 0;
    m_routerCount = 1;
    for (const std::string &vm : members) {
        if (vm == m_self)
            continue;
        ++m_routerCount;
        m_rank += precedes(vm) ? 1 : 0;
    }
}

absl::Duration reader_order::takeoverDelay() const
{
    if (m_rank == 0)
        return absl::ZeroDuration();
    return minTakeoverDelay + delayPerDoubling * std::log2(static_cast<double>(m_rank) + 1.0);
}

} // namespace quetzal
