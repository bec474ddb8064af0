#include "fleet/fake_target.h"

#include <algorithm>

namespace quetzal {

fake_target::fake_target(fake_target_options options)
    : m_options(std::move(options))
{
}

attempt_result fake_target::begin(const execution &work, absl::Time now)
{
    m_attempts.emplace_back(now, work.request);
    if (!m_up)
        return {.ending = attempt_ending::NotSent,
                .signal = protocol::target_signal::ConnectionRefused};
    if (m_draining)
        return {.ending = attempt_ending::RejectedNotExecuted,
                .signal = protocol::target_signal::Leaving,
                .targetInstance = instance()};
    if (isCold() && running() >= m_options.coldSlots)
        ++m_coldLimitExceeded;
    m_running.push_back(work);
    return {.ending = attempt_ending::Completed, .targetInstance = instance()};
}

std::vector<execution> fake_target::finish(absl::Time now)
{
    std::vector<execution> ended;
    std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(ended),
                 [now](const execution &item) { return item.endsAt <= now; });
    std::erase_if(m_running, [now](const execution &item) { return item.endsAt <= now; });
    m_answers += static_cast<int>(ended.size());
    return ended;
}

std::vector<execution> fake_target::restart(absl::Time now)
{
    m_up = true;
    m_draining = false;
    ++m_instance;
    m_answers = 0;
    m_startedAt = now;
    return std::exchange(m_running, {});
}

std::vector<execution> fake_target::kill()
{
    m_up = false;
    return std::exchange(m_running, {});
}

target_load fake_target::load(absl::Time now)
{
    m_loads.emplace_back(now, currentLoad(now));
    while (m_loads.size() > 1 && m_loads[1].first + m_options.loadLag <= now)
        m_loads.pop_front();
    return m_loads.front().second;
}

std::string fake_target::instance() const
{
    return m_options.listing.target + "#" + std::to_string(m_instance);
}

target_load fake_target::currentLoad(absl::Time now) const
{
    return {.instance = instance(),
            .running = running(),
            .waiting = 0,
            .uptime = now - m_startedAt,
            .isDraining = m_draining,
            .cold = isCold()};
}

} // namespace quetzal
