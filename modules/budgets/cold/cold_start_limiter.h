#pragma once

#include "budgets/window/sliding_counter.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace quetzal {

/** The routers that share a limit. */
struct router_group
{
    /** The name of this router. */
    std::string self;
    /** The names of all routers last known, including this one; empty before any are known. */
    std::vector<std::string> members;

    bool operator==(const router_group &) const = default;
};

/** Returns the zero-based position of this router in the order of the names. */
std::size_t rankOf(const router_group &group);

/**
 * Returns this router's share of a number of permits.
 *
 * All routers receive the same integer share; the remainder goes to the routers with the highest
 * rendezvous-hashing weight for the key, so that routers with the same list agree without
 * communication. A router that does not know the others yet has no share.
 */
int shareOf(int permits, const std::string &key, const router_group &group);

/**
 * Limits the rate of requests that this router sends to a cold target.
 *
 * Requests that were sent before the target was known to be cold count too, because it may already
 * have been cold. So do those to a target whose record was removed meanwhile, because it may start
 * again under its name, and those of an earlier process of this router: nothing is known of them,
 * so that none may be sent for one window after the start.
 */
class cold_start_limiter
{
public:
    /** The window within which the permits of the whole fleet limit the requests to a target. */
    static constexpr absl::Duration window = absl::Milliseconds(1100);

    /** @param startedAt when the process started; the infinite past if there was none before it */
    explicit cold_start_limiter(absl::Time startedAt = absl::InfinitePast());

    /** True if one more request may be sent to the target; permits are those of the whole fleet. */
    bool maySend(const std::string &target, int permits, const router_group &group,
                 absl::Time now) const;
    /** Counts a request that was sent to the target. */
    void onSent(const std::string &target, absl::Time now);
    /** Drops the targets to which nothing was sent within the window. */
    void removeExpired(absl::Time now);

private:
    absl::Time m_startedAt;
    absl::flat_hash_map<std::string, sliding_counter> m_sent;
};

} // namespace quetzal
