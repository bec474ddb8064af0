#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/**
 * Returns the interval at which a router sends its load digest to each of its peers.
 *
 * The intervals grow with the number of peers, so that the rate of datagrams that one router
 * receives stays bounded.
 */
absl::Duration digestInterval(std::size_t peers);

/**
 * Returns the interval at which it sends a digest of either kind. It is shorter, because backlogs
 * and demand change faster than the rest, and a digest of them is small.
 */
absl::Duration backlogInterval(std::size_t peers);

/** Returns the time after which a digest is stale if no other one follows in this interval. */
absl::Duration digestLifetime(absl::Duration interval);

/** The kinds of digests. */
enum class digest_kind
{
    Load,
    Backlog,
};

/** Decides which kind of digest a router sends at each backlogInterval(). */
class digest_schedule
{
public:
    /** Returns the kind to send now. */
    digest_kind next(std::size_t peers, absl::Time now);

private:
    absl::Time m_nextLoadAt = absl::InfinitePast();
};

} // namespace quetzal
