#include "exchange/peers/peer_list.h"

namespace quetzal {

void peer_list::onHeard(const std::string &host, absl::Time now)
{
    const auto known = m_heardAt.find(host);
    if (known != m_heardAt.end()) {
        known->second = now;
        return;
    }
    if (m_heardAt.size() >= maxHeardHosts)
        forgetSilentHosts(now);
    if (m_heardAt.size() < maxHeardHosts)
        m_heardAt[host] = now;
}

void peer_list::forgetSilentHosts(absl::Time now)
{
    absl::erase_if(m_heardAt,
                   [&](const auto &entry) { return now - entry.second > heardLifetime; });
}

std::optional<std::string> peer_list::next(absl::Time now)
{
    forgetSilentHosts(now);
    if (!m_heardAt.empty()) {
        auto entry = m_heardAt.upper_bound(m_lastHeard);
        if (entry == m_heardAt.end())
            entry = m_heardAt.begin();
        m_lastHeard = entry->first;
        return m_lastHeard;
    }
    if (m_members.empty())
        return std::nullopt;
    return m_members[m_nextMember++ % m_members.size()];
}

} // namespace quetzal
