#pragma once

#include "ownership/store/store_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace quetzal {

/** Options of lease_keeper. */
struct lease_keeper_options
{
    absl::Duration lifetime = absl::Seconds(4);
    absl::Duration renewalInterval = absl::Seconds(1);
    /** Renewal interval while nothing depends on the lease. */
    absl::Duration idleRenewalInterval = absl::Milliseconds(1500);
    /** Time after which a request without an answer has an unknown outcome. */
    absl::Duration requestTimeout = absl::Seconds(1);
    /** Part of the lifetime that is left unused, because clocks run at different rates. */
    absl::Duration clockMargin = absl::Milliseconds(200);
};

/**
 * Acquires one lease from the store and renews it, with at most one outstanding request.
 *
 * The store measures a lease's lifetime from the time at which it processed the last renewal,
 * which is never before that renewal was sent. The lease is therefore valid at least until the
 * send time of the last confirmed renewal plus the lifetime, on any clock whose drift over one
 * lifetime stays below clockMargin.
 */
class lease_keeper
{
public:
    explicit lease_keeper(lease_keeper_options options);

    /**
     * Returns the next grant or renewal request, if one is due, with the given identifier.
     *
     * idle is true while nothing depends on the lease; it is then renewed less often.
     */
    std::optional<store_request> advance(std::uint64_t requestId, bool idle, absl::Time now);
    /** Processes the reply to the outstanding request; false if it belongs to another request. */
    bool onReply(const store_reply &reply, absl::Time now);
    /** Records that a peer renewed the lease, by a request sent at this time. */
    void onRelayedRenewal(absl::Time sentAt);
    /** Discards the lease, which no longer exists at the store. */
    void drop();

    /** Returns the lease's identifier, or 0 while there is none. */
    std::int64_t lease() const { return m_lease; }
    /** Returns the time before which the lease cannot have expired at the store. */
    absl::Time validUntil() const;
    /** Returns the time at which the last confirmed renewal was sent. */
    absl::Time confirmedAt() const { return m_confirmedAt; }

private:
    lease_keeper_options m_options;
    std::int64_t m_lease = 0;
    std::uint64_t m_outstandingRequestId = 0;
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_grantedAt = absl::InfinitePast();
    absl::Time m_confirmedAt = absl::InfinitePast();
};

} // namespace quetzal
