#include "budgets/window/sliding_counter.h"

namespace quetzal {

sliding_counter::sliding_counter(absl::Duration span)
    : m_span(span)
{
}

void sliding_counter::evictExpired(absl::Time now) const
{
    while (!m_times.empty() && m_times.front() + m_span <= now)
        m_times.pop_front();
}

void sliding_counter::add(absl::Time now)
{
    evictExpired(now);
    m_times.push_back(now);
}

std::size_t sliding_counter::count(absl::Time now) const
{
    evictExpired(now);
    return m_times.size();
}

absl::Time sliding_counter::whenBelow(std::size_t limit, absl::Time now) const
{
    evictExpired(now);
    if (m_times.size() < limit)
        return now;
    if (limit == 0)
        return absl::InfiniteFuture();
    return m_times[m_times.size() - limit] + m_span;
}

} // namespace quetzal
