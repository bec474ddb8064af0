#include "transport/link/reconnect_backoff.h"

#include <algorithm>

namespace quetzal {

namespace {

constexpr link_clock::duration minDelay = std::chrono::milliseconds(50);
constexpr link_clock::duration maxDelay = std::chrono::seconds(1);

} // namespace

bool reconnect_backoff::canDial(const node_id &peer, link_clock::time_point now) const
{
    const auto found = m_delays.find(peer);
    return found == m_delays.end() || now >= found->second.end;
}

void reconnect_backoff::onFailure(const node_id &peer, link_clock::time_point now)
{
    const auto added = m_delays.try_emplace(peer, retry_delay {minDelay / 2, now}).first;
    retry_delay &state = added->second;
    state.length = std::min(state.length * 2, maxDelay);
    const double part = (1.0 + m_random.uniform()) / 2.0;
    const auto delay = std::chrono::duration<double>(state.length) * part;
    state.end = now + std::chrono::duration_cast<link_clock::duration>(delay);
}

void reconnect_backoff::onSuccess(const node_id &peer)
{
    m_delays.erase(peer);
}

void reconnect_backoff::remove(const node_id &peer)
{
    m_delays.erase(peer);
}

} // namespace quetzal
