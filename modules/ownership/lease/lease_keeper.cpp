#include "ownership/lease/lease_keeper.h"

#include <algorithm>

namespace quetzal {

lease_keeper::lease_keeper(lease_keeper_options options)
    : m_options(options)
{
}

std::optional<store_request> lease_keeper::advance(std::uint64_t requestId, bool idle,
                                                   absl::Time now)
{
    if (m_outstandingRequestId != 0 && now >= m_sentAt + m_options.requestTimeout)
        m_outstandingRequestId = 0;
    if (m_outstandingRequestId != 0 || now < m_sentAt + m_options.renewalInterval)
        return std::nullopt;
    if (idle && m_lease != 0 && now < m_confirmedAt + m_options.idleRenewalInterval)
        return std::nullopt;
    m_outstandingRequestId = requestId;
    m_sentAt = now;
    if (m_lease != 0)
        return lease_renewal {.requestId = requestId, .lease = m_lease};
    const auto seconds
        = static_cast<int>(absl::ToInt64Seconds(absl::Ceil(m_options.lifetime, absl::Seconds(1))));
    return lease_grant {.requestId = requestId, .lifetimeSeconds = seconds};
}

bool lease_keeper::onReply(const store_reply &reply, absl::Time now)
{
    if (m_outstandingRequestId == 0 || reply.requestId != m_outstandingRequestId)
        return false;
    m_outstandingRequestId = 0;
    if (reply.outcome == store_outcome::Unknown)
        return true;
    if (reply.outcome == store_outcome::Refused) {
        drop();
        return true;
    }
    if (m_lease == 0) {
        m_lease = reply.lease;
        m_grantedAt = now;
    }
    m_confirmedAt = std::max(m_confirmedAt, m_sentAt);
    return true;
}

void lease_keeper::onRelayedRenewal(absl::Time sentAt)
{
    if (m_lease != 0 && sentAt >= m_grantedAt)
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void lease_keeper::drop()
{
    if (m_lease != 0)
        m_sentAt = absl::InfinitePast();
    m_lease = 0;
    m_outstandingRequestId = 0;
    m_confirmedAt = absl::InfinitePast();
}

absl::Time lease_keeper::validUntil() const
{
    if (m_lease == 0)
        return absl::InfinitePast();
    return m_confirmedAt + m_options.lifetime - m_options.clockMargin;
}

} // namespace quetzal
