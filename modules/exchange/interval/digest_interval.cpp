#include "exchange/interval/digest_interval.h"

#include <algorithm>

namespace quetzal {

namespace {

constexpr absl::Duration minInterval = absl::Milliseconds(100);
/** The average times between two datagrams of a kind that a router of a large fleet receives. */
constexpr absl::Duration loadIntervalPerPeer = absl::Milliseconds(15);
constexpr absl::Duration backlogIntervalPerPeer = absl::Milliseconds(2);
constexpr absl::Duration minLifetime = absl::Milliseconds(1500);
/** One lost datagram does not make the sender's last digest stale. */
constexpr double lifetimeInIntervals = 2.5;

} // namespace

absl::Duration digestInterval(std::size_t peers)
{
    return std::max(minInterval, loadIntervalPerPeer * static_cast<double>(peers));
}

absl::Duration backlogInterval(std::size_t peers)
{
    return std::max(minInterval, backlogIntervalPerPeer * static_cast<double>(peers));
}

absl::Duration digestLifetime(absl::Duration interval)
{
    return std::max(minLifetime, interval * lifetimeInIntervals);
}

digest_kind digest_schedule::next(std::size_t peers, absl::Time now)
{
    // Half of a send interval covers timers that fire early or late.
    if (now + backlogInterval(peers) / 2 < m_nextLoadAt)
        return digest_kind::Backlog;
    m_nextLoadAt = now + digestInterval(peers);
    return digest_kind::Load;
}

} // namespace quetzal
