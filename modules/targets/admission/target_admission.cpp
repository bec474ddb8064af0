#include "targets/admission/target_admission.h"

#include "foundation/errors/precondition.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t maxRetiredInstances = 8;
/** Maximum concurrent requests to an unreachable target. */
constexpr int maxProbeRequests = 1;

} // namespace

target_admission::target_admission(target_listing listing, target_admission_options options,
                                   absl::Time now)
    : m_listing(std::move(listing))
    , m_options(options)
    , m_limit(options.coldLimit)
    , m_instanceSince(now)
    , m_coldResetAt(now)
{
    QUETZAL_PRECONDITION(options.coldLimit >= 1 && options.warmLimit >= options.coldLimit);
}

void target_admission::observeListing(const target_listing &listing, absl::Time now)
{
    const bool isNoLongerDraining = m_listing.isDraining && !listing.isDraining;
    const bool isNewerThanRejection = now >= m_drainingRejectedAt + m_options.listLag;
    if (isNoLongerDraining || (!listing.isDraining && isNewerThanRejection))
        m_drainingRejectedAt = absl::InfiniteFuture();
    if (std::exchange(m_unlisted, false) || listing.address != m_listing.address)
        resetToCold(now);
    m_listing = listing;
}

void target_admission::observeUnlisted(absl::Time now)
{
    m_unlisted = true;
    resetToCold(now);
}

void target_admission::observeLoad(const target_load &load, absl::Time now)
{
    if (!acceptInstance(load, now) || load.uptime < m_lastUptime)
        return;
    m_startEstimate = std::min(m_startEstimate, now - load.uptime);
    m_lastUptime = load.uptime;
    m_reportAt = now;
    m_running = load.running;
    m_isReportedDraining = load.isDraining;
    const bool isNewerThanRejection
        = m_startEstimate + load.uptime >= m_drainingRejectedAt + m_options.reportLag;
    if (!load.isDraining && isNewerThanRejection)
        m_drainingRejectedAt = absl::InfiniteFuture();
    if (load.cold && !m_reportedCold)
        resetToCold(now);
    m_reportedCold = load.cold;
}

void target_admission::observeEvidence(target_evidence evidence, const std::string &instance,
                                       absl::Time now)
{
    observe({.evidence = evidence, .instance = instance}, now);
}

void target_admission::observe(const target_observation &observation, absl::Time now)
{
    if (!acceptInstance(observation, now))
        return;
    switch (observation.evidence) {
    case target_evidence::Answered:
        return observeAnswer(observation, now);
    case target_evidence::Refused:
        observeReset(observation, now);
        m_unreachableSince = now;
        return;
    case target_evidence::Reset:
        return observeReset(observation, now);
    case target_evidence::Overloaded:
        return observeOverload(observation, now);
    case target_evidence::Draining:
        m_drainingRejectedAt = std::min(m_drainingRejectedAt, now);
        return;
    case target_evidence::Unanswered:
        if (++m_consecutiveUnanswered >= m_options.unansweredRequestLimit)
            m_unreachableSince = now;
        return;
    }
}

void target_admission::setLimits(int coldLimit, int warmLimit)
{
    QUETZAL_PRECONDITION(coldLimit >= 1 && warmLimit >= coldLimit);
    const bool wasWarm = m_limit >= m_options.warmLimit;
    const bool wasCold = m_limit <= m_options.coldLimit;
    m_options.coldLimit = coldLimit;
    m_options.warmLimit = warmLimit;
    if (wasWarm && !wasCold)
        m_limit = warmLimit;
    else if (wasCold)
        m_limit = coldLimit;
    else
        m_limit = std::clamp(m_limit, coldLimit, warmLimit);
}

target_phase target_admission::phase(absl::Time /*now*/) const
{
    if (isDraining())
        return target_phase::Draining;
    if (m_unreachableSince != absl::InfiniteFuture())
        return target_phase::Unreachable;
    if (!m_answered)
        return target_phase::Unknown;
    return m_limit >= m_options.warmLimit && !m_reportedCold ? target_phase::Warm
                                                             : target_phase::Warming;
}

int target_admission::limit(absl::Time now) const
{
    switch (phase(now)) {
    case target_phase::Draining:
        return 0;
    case target_phase::Unreachable:
        return now >= m_unreachableSince + m_options.probeInterval ? maxProbeRequests : 0;
    case target_phase::Unknown:
        return m_options.coldLimit;
    case target_phase::Warming:
        return m_reportedCold ? m_options.coldLimit : m_limit;
    case target_phase::Warm:
        return m_limit;
    }
    return 0;
}

bool target_admission::isCold(absl::Time now) const
{
    return phase(now) != target_phase::Warm;
}

int target_admission::reportedRunning(absl::Time now) const
{
    return now - m_reportAt <= m_options.reportLag ? m_running : -1;
}

bool target_admission::mayGrow(absl::Time now) const
{
    const bool reported = m_lastUptime >= absl::ZeroDuration();
    return reported ? !m_reportedCold : now >= m_instanceSince + m_options.reportLag;
}

bool target_admission::wasLimitInUse(const target_observation &observation, absl::Time now)
{
    if (observation.running < 0)
        return true;
    if (observation.running >= m_limit)
        m_limitReachedAt = now;
    return observation.running >= m_limit || observation.startedAt <= m_limitReachedAt;
}

bool target_admission::isDraining() const
{
    return m_listing.isDraining || m_unlisted || m_isReportedDraining
        || m_drainingRejectedAt != absl::InfiniteFuture();
}

bool target_admission::isRetired(const std::string &instance) const
{
    return !instance.empty() && std::ranges::find(m_retired, instance) != m_retired.end();
}

bool target_admission::acceptInstance(const target_observation &observation, absl::Time now)
{
    const std::string &instance = observation.instance;
    if (instance.empty() || instance == m_instance)
        return true;
    const bool startKnown = observation.startedAt != absl::InfiniteFuture();
    if (isRetired(instance) && !(startKnown && observation.startedAt > m_instanceSince))
        return false;
    startInstance(instance, now);
    return true;
}

bool target_admission::acceptInstance(const target_load &load, absl::Time now)
{
    if (load.instance == m_instance && (!load.instance.empty() || !startedLater(load, now)))
        return true;
    if (isRetired(load.instance) ? !hasReturned(load, now) : !mayHaveReplaced(load, now))
        return false;
    startInstance(load.instance, now);
    return true;
}

bool target_admission::startedLater(const target_load &load, absl::Time now) const
{
    return now - load.uptime > m_startEstimate + m_options.reportLag;
}

bool target_admission::mayHaveReplaced(const target_load &load, absl::Time now) const
{
    if (m_instance.empty())
        return true;
    const bool startKnown = m_startEstimate != absl::InfiniteFuture();
    return now - load.uptime
        > (startKnown ? m_startEstimate : m_instanceSince - m_options.reportLag);
}

bool target_admission::hasReturned(const target_load &load, absl::Time now) const
{
    const absl::Time lastContact = std::max(m_reportAt, m_instanceSince);
    return startedLater(load, now) || now > lastContact + 2 * m_options.reportLag;
}

void target_admission::startInstance(const std::string &instance, absl::Time now)
{
    if (!m_instance.empty() && m_instance != instance)
        m_retired.push_back(m_instance);
    if (m_retired.size() > maxRetiredInstances)
        m_retired.pop_front();
    std::erase(m_retired, instance);
    m_instance = instance;
    m_startEstimate = absl::InfiniteFuture();
    m_lastUptime = -absl::InfiniteDuration();
    m_isReportedDraining = false;
    m_reportedCold = false;
    m_drainingRejectedAt = absl::InfiniteFuture();
    m_running = -1;
    resetToCold(now);
    m_instanceSince = now;
    m_instanceColdResetAt = absl::InfinitePast();
}

void target_admission::resetToCold(absl::Time now)
{
    m_limit = m_options.coldLimit;
    m_answersSinceGrowth = 0;
    m_limitReachedAt = absl::InfinitePast();
    m_answered = false;
    m_coldResetAt = now;
    m_instanceColdResetAt = now;
}

void target_admission::observeAnswer(const target_observation &observation, absl::Time now)
{
    if (observation.startedAt
        < (observation.instance.empty() ? m_coldResetAt : m_instanceColdResetAt))
        return;
    m_answered = true;
    m_consecutiveUnanswered = 0;
    m_unreachableSince = absl::InfiniteFuture();
    if (!mayGrow(now) || !wasLimitInUse(observation, now))
        return;
    ++m_answersSinceGrowth;
    grow();
}

void target_admission::observeReset(const target_observation &observation, absl::Time now)
{
    if (m_instance.empty())
        startInstance("", now);
    const bool probeFailed = !m_answered && observation.startedAt >= m_coldResetAt;
    if (probeFailed)
        m_unreachableSince = now;
    resetToCold(now);
}

void target_admission::observeOverload(const target_observation &observation, absl::Time now)
{
    if (observation.startedAt < m_reducedAt)
        return;
    m_reducedAt = now;
    m_answersSinceGrowth = 0;
    m_limit = std::max(m_options.coldLimit, m_limit / 2);
}

void target_admission::grow()
{
    const bool doubling = m_options.growth == growth_rule::Doubling;
    const int needed = doubling ? m_limit : m_options.answersPerStep;
    if (m_answersSinceGrowth < needed || m_limit >= m_options.warmLimit)
        return;
    m_limit = std::min(m_options.warmLimit, doubling ? m_limit * 2 : m_limit + 1);
    m_answersSinceGrowth = 0;
    m_limitReachedAt = absl::InfinitePast();
}

} // namespace quetzal
