#include "simulated_target.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

constexpr absl::Duration stepLength = absl::Milliseconds(50);
constexpr absl::Duration reportInterval = absl::Seconds(1);
constexpr absl::Duration answerTimeout = absl::Seconds(2);
constexpr int minServiceMillis = 100;
constexpr int serviceSpreadMillis = 900;

} // namespace

simulated_target::simulated_target(target_admission_options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_admission({.target = "engine-1"}, options, m_now)
    , m_startedAt(m_now)
{
}

void simulated_target::run(absl::Duration duration)
{
    const absl::Time end = m_now + duration;
    while (m_now < end && m_violation.empty())
        step();
}

void simulated_target::step()
{
    m_now += stepLength;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
        check();
    }
    endRequests();
    startRequests();
    if (!m_down && m_now >= m_reportedAt + reportInterval)
        sendReport();
    check();
}

void simulated_target::endRequests()
{
    for (auto request = m_running.begin(); request != m_running.end();) {
        const bool timedOut = m_now >= request->startedAt + answerTimeout;
        const bool ended = !m_hung && request->instance == m_instance && m_now >= request->endsAt;
        if (!timedOut && !ended) {
            ++request;
            continue;
        }
        if (ended)
            deliverEnd(*request, target_evidence::Answered, true, m_answerDelay);
        else
            deliverEnd(*request, target_evidence::Unanswered, false, absl::ZeroDuration());
        request = m_running.erase(request);
    }
}

void simulated_target::startRequests()
{
    while (static_cast<int>(m_running.size()) < limit()) {
        const absl::Duration service
            = absl::Milliseconds(minServiceMillis + m_random.below(serviceSpreadMillis));
        const running_request request {m_instance, m_now, m_now + service};
        if (m_down || m_isDraining) {
            const auto evidence = m_down ? target_evidence::Refused : target_evidence::Draining;
            return deliverEnd(request, evidence, !m_down, absl::ZeroDuration());
        }
        m_running.push_back(request);
        const auto present = std::ranges::count(m_running, m_instance, &running_request::instance);
        if (m_now < m_startedAt + absl::Seconds(1) && m_instanceRevealed)
            m_maxConcurrentOnNewInstance
                = std::max(m_maxConcurrentOnNewInstance, static_cast<int>(present));
    }
}

void simulated_target::sendReport()
{
    m_reportedAt = m_now;
    const target_load load {.instance = instanceName(m_instance),
                            .running = static_cast<int>(m_running.size()),
                            .uptime = m_now - m_startedAt,
                            .isDraining = m_isDraining,
                            .cold = isCold()};
    const absl::Duration lag = m_reportLag * (0.5 + 0.5 * m_random.uniform());
    deliver(lag, [this, load, instance = m_instance] {
        m_admission.observeLoad(load, m_now);
        if (instance != m_instance)
            return;
        m_instanceRevealed = true;
        m_isDrainingRevealed |= load.isDraining && m_isDraining;
    });
}

void simulated_target::deliver(absl::Duration delay, std::function<void()> handle)
{
    m_events.emplace(m_now + delay, std::move(handle));
}

void simulated_target::deliverEnd(const running_request &request, target_evidence evidence,
                                  bool named, absl::Duration delay)
{
    const int running = static_cast<int>(m_running.size());
    deliver(delay, [this, request, evidence, named, running] {
        const std::string instance = named ? instanceName(request.instance) : "";
        m_admission.observe({.evidence = evidence,
                             .instance = instance,
                             .startedAt = request.startedAt,
                             .running = running},
                            m_now);
        const bool present = named && request.instance == m_instance;
        const bool connectionLost
            = evidence == target_evidence::Reset || evidence == target_evidence::Refused;
        m_instanceRevealed |= present || connectionLost;
        if (present && evidence == target_evidence::Answered)
            ++m_answerCount;
        m_isDrainingRevealed |= present && evidence == target_evidence::Draining && m_isDraining;
    });
}

void simulated_target::restart(bool resetsConnections)
{
    for (const running_request &request : m_running) {
        if (resetsConnections)
            deliverEnd(request, target_evidence::Reset, false,
                       absl::Milliseconds(m_random.below(500)));
    }
    if (resetsConnections)
        m_running.clear();
    ++m_instance;
    m_startedAt = m_now;
    m_instanceRevealed = false;
    m_answerCount = 0;
    m_isDraining = false;
    m_isDrainingRevealed = false;
    m_disturbedAt = m_now;
}

void simulated_target::setDown(bool down)
{
    if (std::exchange(m_down, down) && !down)
        restart(true);
    m_disturbedAt = m_now;
}

void simulated_target::setDraining(bool isDraining)
{
    m_isDraining = isDraining;
    m_isDrainingRevealed = false;
    m_disturbedAt = m_now;
}

void simulated_target::setListedDraining(bool isDraining)
{
    m_admission.observeListing({.target = "engine-1", .isDraining = isDraining}, m_now);
    m_disturbedAt = m_now;
}

int simulated_target::maxAllowedLimit() const
{
    int limit = m_options.coldLimit;
    if (isCold())
        return limit;
    for (int answers = m_answerCount - limit; answers >= 0; answers -= limit)
        limit *= 2;
    return std::min(limit, m_options.warmLimit);
}

void simulated_target::check()
{
    const int present = limit();
    if (m_instanceRevealed && present > maxAllowedLimit()) {
        m_violation
            = absl::StrCat(absl::FormatDuration(m_now - absl::UnixEpoch()), " limit ", present,
                           " after ", m_answerCount, " answers of ", instanceName(m_instance));
    }
    if (m_isDrainingRevealed && m_isDraining && present > 0)
        m_violation = "new requests after the first indication of draining";
    const bool idleAllowed = m_down || m_hung || m_isDraining || m_admission.listing().isDraining
        || m_now < m_disturbedAt + m_options.listLag;
    m_idleSince
        = present > 0 || idleAllowed ? absl::InfiniteFuture() : std::min(m_idleSince, m_now);
    m_longestIdle = std::max(m_longestIdle, std::max(m_now - m_idleSince, absl::ZeroDuration()));
    if (m_longestIdle > m_options.probeInterval + stepLength)
        m_violation = absl::StrCat("idle for ", absl::FormatDuration(m_longestIdle));
}

} // namespace quetzal
