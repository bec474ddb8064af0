#include "emulator/router/emulated_processor.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace quetzal::bench {

emulated_processor::emulated_processor(event_queue &events, const processor_parameters &parameters)
    : m_events(events)
    , m_share(parameters.share)
    , m_quotaPeriod(parameters.quotaPeriod)
    , m_periodStartedAt(events.now())
    , m_quotaLeft(m_quotaPeriod * m_share)
{
}

void emulated_processor::post(task next)
{
    m_tasks.push_back(std::move(next));
    runNext();
}

void emulated_processor::runNext()
{
    if (m_isBusy || m_tasks.empty())
        return;
    m_isBusy = true;
    if (m_quotaPeriod > absl::ZeroDuration()) {
        runWithinQuota();
        return;
    }
    const task next = std::move(m_tasks.front());
    m_tasks.pop_front();
    const absl::Duration used = next();
    m_events.after(used / m_share, [this] {
        m_isBusy = false;
        runNext();
    });
}

void emulated_processor::runWithinQuota()
{
    renewQuota();
    absl::Duration busyFor = m_periodStartedAt + m_quotaPeriod - m_events.now();
    if (m_quotaLeft > absl::ZeroDuration()) {
        const task next = std::move(m_tasks.front());
        m_tasks.pop_front();
        busyFor = next();
        m_quotaLeft -= busyFor;
    }
    m_events.after(busyFor, [this] {
        m_isBusy = false;
        runNext();
    });
}

void emulated_processor::renewQuota()
{
    absl::Duration sinceStart;
    const std::int64_t periods
        = absl::IDivDuration(m_events.now() - m_periodStartedAt, m_quotaPeriod, &sinceStart);
    if (periods == 0)
        return;
    const absl::Duration quota = m_quotaPeriod * m_share;
    m_periodStartedAt += periods * m_quotaPeriod;
    m_quotaLeft = std::min(m_quotaLeft + periods * quota, quota);
}

} // namespace quetzal::bench
