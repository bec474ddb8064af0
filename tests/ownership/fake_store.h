#pragma once

#include "ownership/ownership.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace quetzal {

/** An in-memory key-value service with transactions and leases in simulated time. */
class fake_store
{
public:
    /** Performs a request at the given time. */
    store_reply perform(const store_request &request, absl::Time now);
    /** Expires leases and deletes their keys. */
    void advance(absl::Time now);

    const store_view &view() const { return m_view; }
    /** Returns the number of requests performed so far. */
    int requests() const { return m_requests; }

private:
    struct lease_state
    {
        absl::Duration lifetime;
        absl::Time expiresAt;
    };

    store_reply apply(const store_transaction &transaction);
    store_reply apply(const lease_grant &grant, absl::Time now);
    store_reply apply(const lease_renewal &renewal, absl::Time now);
    void deleteKeysOf(std::int64_t lease);

    store_view m_view {.revision = 1, .records = {}};
    std::map<std::int64_t, lease_state> m_leases;
    std::int64_t m_lastLease = 100;
    int m_requests = 0;
};

} // namespace quetzal
