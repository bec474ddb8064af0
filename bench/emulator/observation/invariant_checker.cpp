#include "emulator/observation/invariant_checker.h"

#include <utility>

namespace quetzal::bench {

namespace {

/** Violations beyond this number are not recorded. */
constexpr std::size_t maxViolations = 20;

void removeUntil(std::deque<absl::Time> &times, absl::Time start)
{
    while (!times.empty() && times.front() <= start)
        times.pop_front();
}

} // namespace

invariant_checker::invariant_checker(invariant_limits limits)
    : m_limits(std::move(limits))
{
}

void invariant_checker::addViolation(const std::string &violation)
{
    if (m_violations.size() < maxViolations)
        m_violations.push_back(violation);
}

void invariant_checker::onAttemptSent(const std::string &requestId, const std::string &service,
                                      bool isRepeatable, absl::Time now)
{
    m_attempts[requestId] = {.service = service, .isRepeatable = isRepeatable};
    m_traffic[service].requests.push_back(now);
}

void invariant_checker::onArrival(const target_arrival &arrival)
{
    const auto found = m_attempts.find(arrival.requestId);
    if (found == m_attempts.end()) {
        addViolation("a request that no caller sent: " + arrival.requestId);
        return;
    }
    if (++found->second.arrivals > 1) {
        m_traffic[arrival.service].retries.push_back(arrival.at);
        checkRetries(arrival.service, arrival.at);
    }
    const auto limit = m_limits.coldRequests.find(arrival.service);
    if (!arrival.isCold || limit == m_limits.coldRequests.end())
        return;
    auto &times = m_coldArrivals[arrival.target + "/" + std::to_string(arrival.incarnation)];
    times.push_back(arrival.at);
    removeUntil(times, arrival.at - absl::Seconds(1));
    if (static_cast<double>(times.size()) > limit->second)
        addViolation("cold target " + arrival.target + " got " + std::to_string(times.size())
                     + " requests within a second");
}

void invariant_checker::checkRetries(const std::string &service, absl::Time now)
{
    service_traffic &traffic = m_traffic[service];
    removeUntil(traffic.retries, now - m_limits.retryWindow);
    removeUntil(traffic.requests, now - 2 * m_limits.retryWindow);
    std::size_t requests = 0;
    for (const absl::Time at : traffic.requests)
        requests += at > now - m_limits.retryWindow ? 1 : 0;
    const double allowed
        = m_limits.retryRatio * static_cast<double>(requests) + m_limits.retryAllowance;
    if (static_cast<double>(traffic.retries.size()) > allowed)
        addViolation(std::to_string(traffic.retries.size()) + " repeats at " + service
                     + " within the window, allowed " + std::to_string(allowed));
}

void invariant_checker::onExecutionStarted(const std::string &requestId, int lastEvent,
                                           absl::Time now)
{
    m_shares.onExecutionStarted(requestId, now);
    const auto found = m_attempts.find(requestId);
    if (found == m_attempts.end())
        return;
    attempt &run = found->second;
    run.runs += 1;
    if (run.runs > 1 && !run.isRepeatable)
        addViolation("run " + std::to_string(run.runs) + " of " + requestId + " behind event "
                     + std::to_string(lastEvent) + ", which may run once");
    if (run.isReportedNotExecuted)
        addViolation(requestId + " ran after its caller was told that it did not");
}

void invariant_checker::onPromptProcessed(std::int64_t tokens, std::int64_t repeatedTokens)
{
    m_promptTokens += tokens;
    m_repeatedTokens += repeatedTokens;
}

void invariant_checker::onAttemptEnded(const std::string &requestId, bool isReportedNotExecuted)
{
    attempt &ended = m_attempts[requestId];
    if (++ended.ends > 1)
        addViolation(requestId + " ended twice");
    ended.isReportedNotExecuted = isReportedNotExecuted;
    if (isReportedNotExecuted && ended.runs > 0 && !ended.isRepeatable)
        addViolation(requestId + " ran, and its caller was told that it did not");
}

void invariant_checker::onAnswer(const std::string &requestId, bool isCorrect)
{
    if (!isCorrect)
        addViolation(requestId + " got an answer that is not its own or not whole");
}

std::vector<std::string> invariant_checker::violations() const
{
    std::vector<std::string> all = m_violations;
    for (const auto &[id, run] : m_attempts) {
        if (run.ends == 0 && all.size() < maxViolations)
            all.push_back(id + " has no end");
    }
    return all;
}

} // namespace quetzal::bench
