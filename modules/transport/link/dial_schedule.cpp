#include "transport/link/dial_schedule.h"

#include <algorithm>

namespace quetzal {

namespace {

constexpr link_clock::duration shortestPause = std::chrono::milliseconds(50);
constexpr link_clock::duration longestPause = std::chrono::seconds(1);

} // namespace

bool dial_schedule::isDue(const node_id &peer, link_clock::time_point now) const
{
    const auto found = m_pauses.find(peer);
    return found == m_pauses.end() || now >= found->second.end;
}

void dial_schedule::onFailure(const node_id &peer, link_clock::time_point now)
{
    const auto added = m_pauses.try_emplace(peer, pause {shortestPause / 2, now}).first;
    pause &current = added->second;
    current.length = std::min(current.length * 2, longestPause);
    const double part = (1.0 + m_random.uniform()) / 2.0;
    const auto wait = std::chrono::duration<double>(current.length) * part;
    current.end = now + std::chrono::duration_cast<link_clock::duration>(wait);
}

void dial_schedule::onSuccess(const node_id &peer)
{
    m_pauses.erase(peer);
}

void dial_schedule::forget(const node_id &peer)
{
    m_pauses.erase(peer);
}

} // namespace quetzal
