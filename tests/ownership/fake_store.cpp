#include "fake_store.h"

#include <algorithm>

namespace quetzal {

store_reply fake_store::perform(const store_request &request, absl::Time now)
{
    advance(now);
    ++m_requests;
    if (const auto *transaction = std::get_if<store_transaction>(&request))
        return apply(*transaction);
    if (const auto *grant = std::get_if<lease_grant>(&request))
        return apply(*grant, now);
    if (const auto *renewal = std::get_if<lease_renewal>(&request))
        return apply(*renewal, now);
    const auto &revocation = std::get<lease_revocation>(request);
    m_leases.erase(revocation.lease);
    deleteKeysOf(revocation.lease);
    return {.requestId = revocation.requestId,
            .outcome = store_outcome::Done,
            .revision = m_view.revision};
}

void fake_store::advance(absl::Time now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now < lease->second.expiresAt) {
            ++lease;
            continue;
        }
        deleteKeysOf(lease->first);
        lease = m_leases.erase(lease);
    }
}

store_reply fake_store::apply(const store_transaction &transaction)
{
    store_reply reply {.requestId = transaction.requestId,
                       .outcome = store_outcome::Refused,
                       .revision = m_view.revision};
    const bool holds = std::ranges::all_of(transaction.compares, [&](const store_compare &compare) {
        const auto found = m_view.records.find(compare.key);
        const std::int64_t present = found == m_view.records.end() ? 0 : found->second.modRevision;
        return present == compare.modRevision;
    });
    const bool leasesLive = std::ranges::all_of(transaction.puts, [&](const store_put &put) {
        return put.lease == 0 || m_leases.contains(put.lease);
    });
    if (!holds || !leasesLive)
        return reply;
    reply.revision = ++m_view.revision;
    reply.outcome = store_outcome::Done;
    for (const store_put &put : transaction.puts)
        m_view.records[put.key] = {put.value, m_view.revision, put.lease};
    for (const std::string &key : transaction.deletes)
        m_view.records.erase(key);
    return reply;
}

store_reply fake_store::apply(const lease_grant &grant, absl::Time now)
{
    const absl::Duration lifetime = absl::Seconds(grant.lifetimeSeconds);
    m_leases[++m_lastLease] = {lifetime, now + lifetime};
    return {.requestId = grant.requestId,
            .outcome = store_outcome::Done,
            .revision = m_view.revision,
            .lease = m_lastLease};
}

store_reply fake_store::apply(const lease_renewal &renewal, absl::Time now)
{
    const auto lease = m_leases.find(renewal.lease);
    const bool live = lease != m_leases.end();
    if (live)
        lease->second.expiresAt = now + lease->second.lifetime;
    return {.requestId = renewal.requestId,
            .outcome = live ? store_outcome::Done : store_outcome::Refused,
            .revision = m_view.revision};
}

void fake_store::deleteKeysOf(std::int64_t lease)
{
    const auto removed = std::erase_if(
        m_view.records, [&](const auto &entry) { return entry.second.lease == lease; });
    if (removed > 0)
        ++m_view.revision;
}

} // namespace quetzal
