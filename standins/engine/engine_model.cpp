#include "standins/engine/engine_model.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace quetzal::standins {

engine_model::engine_model(engine_options options, absl::Time now)
    : m_options(std::move(options))
    , m_started(now)
    , m_startsWarm(m_options.startsWarm)
    , m_slotTimeUntil(now)
{
    sampleLoad(now);
}

submit_result engine_model::submit(const std::string &requestId, const std::string &callerRequestId,
                                   int tokens, absl::Time now)
{
    advance(now);
    if (m_draining) {
        ++m_counts.refused;
        return submit_result::Draining;
    }
    if (std::cmp_greater_equal(m_queued.size(), m_options.maxQueued)) {
        ++m_counts.refused;
        return submit_result::Overloaded;
    }

    const engine_load load = currentLoad();
    const bool exceedsColdSlots = isCold(now) && load.running + load.waiting >= m_options.coldSlots;
    ++m_counts.executions;
    m_log.push_back({.requestId = requestId,
                     .callerRequestId = callerRequestId,
                     .service = m_options.service,
                     .admitted = now,
                     .phase = execution_phase::Waiting});
    const auto existing = m_requests.find(requestId);
    if (existing != m_requests.end() && existing->second.ended == absl::InfiniteFuture()) {
        m_log.back().phase = execution_phase::Broken;
        return submit_result::Duplicate;
    }
    m_requests[requestId] = {.record = m_log.size() - 1, .tokens = tokens, .detached = now};
    m_queued.push_back(requestId);
    if (exceedsColdSlots) {
        ++m_counts.coldLimitExceeded;
        restart(now);
        return submit_result::Crashed;
    }
    startQueued(now);
    sampleLoad(now);
    return submit_result::Accepted;
}

engine_progress engine_model::progress(const std::string &requestId, absl::Time now)
{
    advance(now);
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end())
        return {};
    const request_state &request = found->second;
    const execution_phase phase = phaseOf(request);
    if (phase == execution_phase::Done)
        return {phase, request.tokens};
    if (phase != execution_phase::Running || now < request.started + m_options.timeToFirstToken)
        return {phase, 0};
    const absl::Duration generating = now - request.started - m_options.timeToFirstToken;
    const int ready
        = 1 + static_cast<int>(absl::ToDoubleSeconds(generating) * m_options.tokensPerSecond);
    return {phase, std::min(ready, request.tokens)};
}

bool engine_model::isResumable(const std::string &requestId, absl::Time now)
{
    advance(now);
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end())
        return false;
    const execution_phase phase = phaseOf(found->second);
    if (phase == execution_phase::Waiting || phase == execution_phase::Running)
        return true;
    return phase == execution_phase::Done && now < found->second.ended + m_options.detachTimeout;
}

int engine_model::requestedTokens(const std::string &requestId) const
{
    const auto found = m_requests.find(requestId);
    return found == m_requests.end() ? 0 : found->second.tokens;
}

void engine_model::attach(const std::string &requestId, absl::Time now)
{
    advance(now);
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end())
        return;
    ++found->second.connections;
    found->second.detached = absl::InfiniteFuture();
}

void engine_model::detach(const std::string &requestId, absl::Time now)
{
    advance(now);
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end() || found->second.connections == 0)
        return;
    if (--found->second.connections == 0)
        found->second.detached = now;
}

bool engine_model::cancel(const std::string &requestId, absl::Time now)
{
    advance(now);
    const auto found = m_requests.find(requestId);
    if (found == m_requests.end() || found->second.ended != absl::InfiniteFuture())
        return false;
    endRequest(found->second, execution_phase::Cancelled, now);
    std::erase(m_running, requestId);
    std::erase(m_queued, requestId);
    startQueued(now);
    sampleLoad(now);
    return true;
}

void engine_model::restart(absl::Time now)
{
    advance(now);
    for (auto &[id, request] : m_requests) {
        if (request.ended == absl::InfiniteFuture())
            endRequest(request, execution_phase::Broken, now);
    }
    m_requests.clear();
    m_running.clear();
    m_queued.clear();
    m_started = now;
    m_startsWarm = false;
    m_answersSinceStart = 0;
    ++m_startCount;
    ++m_counts.restarts;
    sampleLoad(now);
}

bool engine_model::order(std::int64_t fencing, absl::Time now)
{
    advance(now);
    if (m_options.fencing && fencing < m_highestFencingNumber) {
        ++m_counts.ordersRejected;
        return false;
    }
    m_highestFencingNumber = std::max(m_highestFencingNumber, fencing);
    ++m_counts.ordersAccepted;
    return true;
}

engine_load engine_model::reportedLoad(absl::Time now)
{
    advance(now);
    const absl::Time sampledAt = now - m_options.loadLag;
    while (m_samples.size() > 1 && m_samples[1].time <= sampledAt)
        m_samples.pop_front();
    return m_samples.front().load;
}

bool engine_model::isCold(absl::Time now)
{
    if (m_startsWarm)
        return false;
    return now < m_started + m_options.coldTime || m_answersSinceStart < m_options.warmAnswers;
}

std::string engine_model::instance() const
{
    return absl::StrCat(m_options.id, "-", m_startCount, "-", absl::ToUnixMillis(m_started));
}

std::vector<execution_record> engine_model::log() const
{
    return m_log;
}

void engine_model::advance(absl::Time now)
{
    while (endNextRequest(now)) { }
    accumulateSlotTime(now);
}

bool engine_model::endNextRequest(absl::Time now)
{
    std::string next;
    absl::Time when = absl::InfiniteFuture();
    const auto consider = [&](const std::string &id) {
        const request_state &request = m_requests.at(id);
        const absl::Time ends = std::min(completionTime(request), detachDeadline(request));
        if (ends < when) {
            when = ends;
            next = id;
        }
    };
    std::ranges::for_each(m_running, consider);
    std::ranges::for_each(m_queued, consider);
    if (next.empty() || when > now)
        return false;

    accumulateSlotTime(when);
    request_state &request = m_requests.at(next);
    const bool isComplete = completionTime(request) <= when;
    endRequest(request, isComplete ? execution_phase::Done : execution_phase::Cancelled, when);
    std::erase(m_running, next);
    std::erase(m_queued, next);
    startQueued(when);
    sampleLoad(when);
    return true;
}

void engine_model::endRequest(request_state &request, execution_phase phase, absl::Time when)
{
    execution_record &record = m_log[request.record];
    record.phase = phase;
    if (phase == execution_phase::Done) {
        record.tokens = request.tokens;
        ++m_answersSinceStart;
    } else if (request.started < when) {
        const absl::Duration generating = when - request.started - m_options.timeToFirstToken;
        const double tokens = absl::ToDoubleSeconds(generating) * m_options.tokensPerSecond;
        record.tokens = std::clamp(1 + static_cast<int>(tokens), 0, request.tokens);
    }
    if (phase == execution_phase::Cancelled)
        ++m_counts.cancelled;
    request.ended = when;
}

void engine_model::startQueued(absl::Time when)
{
    while (!m_queued.empty() && std::cmp_less(m_running.size(), m_options.slots)) {
        const std::string id = m_queued.front();
        m_queued.pop_front();
        m_running.push_back(id);
        request_state &request = m_requests.at(id);
        request.started = when;
        m_log[request.record].phase = execution_phase::Running;
    }
    m_counts.peakRunning = std::max(m_counts.peakRunning, static_cast<int>(m_running.size()));
}

absl::Time engine_model::completionTime(const request_state &request) const
{
    if (request.started == absl::InfiniteFuture())
        return absl::InfiniteFuture();
    const double generating = std::max(request.tokens - 1, 0) / m_options.tokensPerSecond;
    return request.started + m_options.timeToFirstToken + absl::Seconds(generating);
}

absl::Time engine_model::detachDeadline(const request_state &request) const
{
    return request.detached + m_options.detachTimeout;
}

engine_load engine_model::currentLoad() const
{
    return {static_cast<int>(m_running.size()), static_cast<int>(m_queued.size())};
}

void engine_model::sampleLoad(absl::Time when)
{
    m_samples.push_back({when, currentLoad()});
    while (m_samples.size() > 1 && m_samples[1].time <= when - m_options.loadLag)
        m_samples.pop_front();
}

void engine_model::accumulateSlotTime(absl::Time when)
{
    if (when <= m_slotTimeUntil)
        return;
    const int availableSlots = isCold(m_slotTimeUntil) ? m_options.coldSlots : m_options.slots;
    m_counts.availableSlotTime += availableSlots * (when - m_slotTimeUntil);
    m_counts.busySlotTime += static_cast<double>(m_running.size()) * (when - m_slotTimeUntil);
    m_slotTimeUntil = when;
}

execution_phase engine_model::phaseOf(const request_state &request) const
{
    return m_log[request.record].phase;
}

} // namespace quetzal::standins
