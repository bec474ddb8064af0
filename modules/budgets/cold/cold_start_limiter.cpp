#include "budgets/cold/cold_start_limiter.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>

namespace quetzal {

std::size_t rankOf(const router_group &group)
{
    return static_cast<std::size_t>(
        std::count_if(group.members.begin(), group.members.end(),
                      [&](const std::string &member) { return member < group.self; }));
}

int shareOf(int permits, const std::string &key, const router_group &group)
{
    if (group.members.empty())
        return 0;
    const auto members = static_cast<int>(group.members.size());
    const int wholeShare = permits / members;
    const int remainder = permits % members;
    if (remainder == 0)
        return wholeShare;
    const std::uint64_t own = rendezvousWeight(key, group.self);
    const auto ahead
        = std::count_if(group.members.begin(), group.members.end(), [&](const std::string &member) {
              return member != group.self && rendezvousWeight(key, member) > own;
          });
    return wholeShare + (ahead < remainder ? 1 : 0);
}

cold_start_limiter::cold_start_limiter(absl::Time startedAt)
    : m_startedAt(startedAt)
{
}

bool cold_start_limiter::maySend(const std::string &target, int permits, const router_group &group,
                                 absl::Time now) const
{
    if (now < m_startedAt + window)
        return false;
    const auto found = m_sent.find(target);
    const std::size_t sent = found == m_sent.end() ? 0 : found->second.count(now);
    return static_cast<int>(sent) < shareOf(permits, target, group);
}

void cold_start_limiter::onSent(const std::string &target, absl::Time now)
{
    m_sent.try_emplace(target, window).first->second.add(now);
}

void cold_start_limiter::removeExpired(absl::Time now)
{
    absl::erase_if(m_sent, [now](const auto &entry) { return entry.second.count(now) == 0; });
}

} // namespace quetzal
