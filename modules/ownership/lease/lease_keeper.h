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
    /** Interval while nothing depends on the lease. */
    absl::Duration idleRenewalInterval = absl::Milliseconds(1500);
    /** How long a request may take before its outcome counts as unknown. */
    absl::Duration requestTimeout = absl::Seconds(1);
    /** Part of the lifetime that is not used, for clocks that run at different rates. */
    absl::Duration clockMargin = absl::Milliseconds(200);
};

/**
 * Gets one lease at the store and renews it, with one request outstanding at most.
 *
 * The store counts a lease's lifetime from when it handled the last renewal, which is not before
 * the renewal was sent. So the lease holds at least until the sending of the last confirmed
 * renewal plus the lifetime, by any clock that runs at the same rate but for clockMargin.
 */
class lease_keeper
{
public:
    explicit lease_keeper(lease_keeper_options options);

    /**
     * The request that is due, under the given identifier; idle is true while nothing depends on
     * the lease, so that it is renewed less often.
     */
    std::optional<store_request> advance(std::uint64_t requestId, bool idle, absl::Time now);
    /** Takes the answer to one of its requests; false when it is to another request. */
    bool onReply(const store_reply &reply, absl::Time now);
    /** The lease was renewed through a peer by a request sent at this time. */
    void onRelayedRenewal(absl::Time sentAt);
    /** The lease is known to be gone. */
    void drop();

    /** The lease; 0 while there is none. */
    std::int64_t lease() const { return m_lease; }
    /** The lease cannot have lapsed at the store before this time. */
    absl::Time validUntil() const;
    /** When the last confirmed renewal was sent. */
    absl::Time confirmedAt() const { return m_confirmedAt; }

private:
    lease_keeper_options m_options;
    std::int64_t m_lease = 0;
    std::uint64_t m_outstanding = 0;
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_grantedAt = absl::InfinitePast();
    absl::Time m_confirmedAt = absl::InfinitePast();
};

} // namespace quetzal
