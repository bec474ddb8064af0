#include "bench/load/load_statistics.h"

#include <algorithm>

namespace quetzal {

namespace {

const std::string notRun = "not_run";

/** True if an execution started during an outage, more than the grace after its start. */
bool isWithin(const outage_window &window, const logged_execution &execution, absl::Duration grace)
{
    return window.dataCentre == execution.dataCentre && execution.started > window.from + grace
        && execution.started < window.to;
}

} // namespace

void load_statistics::start(const load_request &request, absl::Time now)
{
    request_state &state = m_requests[request.callerRequestId];
    state.request = request;
    state.started = now;
    ++m_workspaces[request.workspace].sent;
    ++m_inProgress[{request.workspace, request.service}];
}

void load_statistics::addTokens(const std::string &callerRequestId, int count, absl::Time now)
{
    request_state &state = m_requests.at(callerRequestId);
    if (count == 0)
        return;
    latency_samples &samples = m_latencies[state.request.workspace];
    if (state.lastToken == absl::InfinitePast())
        samples.firstToken.push_back(now - state.started);
    else
        samples.betweenTokens.push_back((now - state.lastToken) / count);
    state.lastToken = now;
    workspace_statistics &statistics = m_workspaces[state.request.workspace];
    statistics.tokens += count;
    if (state.request.answerWeight == 0.0)
        statistics.service[state.request.service] += count;
}

void load_statistics::finish(const std::string &callerRequestId, const load_result &result,
                             absl::Time now)
{
    request_state &state = m_requests.at(callerRequestId);
    state.finished = true;
    state.result = result;
    --m_inProgress[{state.request.workspace, state.request.service}];
    workspace_statistics &statistics = m_workspaces[state.request.workspace];
    switch (result.outcome) {
    case load_outcome::Complete:
        ++statistics.whole;
        statistics.service[state.request.service] += state.request.answerWeight;
        m_latencies[state.request.workspace].completeAnswer.push_back(now - state.started);
        break;
    case load_outcome::Wrong:
        ++statistics.wrong;
        break;
    case load_outcome::Broken:
        ++statistics.broken;
        break;
    case load_outcome::Refused:
        ++statistics.refused[{result.code, result.execution}];
        break;
    }
}

load_violations load_statistics::reconcile(const std::vector<logged_execution> &executions,
                                           const std::vector<outage_window> &windows,
                                           absl::Duration grace) const
{
    load_violations violations;
    std::map<std::string, int> counts;
    for (const logged_execution &execution : executions) {
        ++counts[execution.callerRequestId];
        const bool duringOutage = std::ranges::any_of(windows, [&](const outage_window &window) {
            return isWithin(window, execution, grace);
        });
        violations.startedDuringOutage += duringOutage ? 1 : 0;
    }
    for (const auto &[id, state] : m_requests) {
        const auto found = counts.find(id);
        const int count = found == counts.end() ? 0 : found->second;
        const load_result &result = state.result;
        violations.wrongAnswers += result.outcome == load_outcome::Wrong ? 1 : 0;
        violations.brokenAnswers += result.outcome == load_outcome::Broken ? 1 : 0;
        if (!state.request.idempotent && count > 1)
            violations.duplicateExecutions += count - 1;
        if (result.outcome == load_outcome::Refused && result.execution == notRun && count > 0)
            ++violations.executedDespiteNotRun;
        if (result.outcome == load_outcome::Complete && count == 0)
            ++violations.answeredWithoutExecution;
    }
    violations.starvedWorkspaces = std::ranges::count_if(
        m_workspaces, [](const auto &entry) { return entry.second.whole == 0; });
    return violations;
}

latency_summary load_statistics::firstToken(const std::string &workspace) const
{
    const auto found = m_latencies.find(workspace);
    return found == m_latencies.end() ? latency_summary {} : summarise(found->second.firstToken);
}

latency_summary load_statistics::betweenTokens(const std::string &workspace) const
{
    const auto found = m_latencies.find(workspace);
    return found == m_latencies.end() ? latency_summary {} : summarise(found->second.betweenTokens);
}

latency_summary load_statistics::completeAnswer(const std::string &workspace) const
{
    const auto found = m_latencies.find(workspace);
    return found == m_latencies.end() ? latency_summary {}
                                      : summarise(found->second.completeAnswer);
}

int load_statistics::inProgress(const std::string &workspace, const std::string &service) const
{
    const auto found = m_inProgress.find({workspace, service});
    return found == m_inProgress.end() ? 0 : found->second;
}

latency_summary summarise(std::vector<absl::Duration> samples)
{
    if (samples.empty())
        return {};
    std::ranges::sort(samples);
    const auto at = [&samples](double quantile) {
        const auto index = static_cast<std::size_t>(quantile * static_cast<double>(samples.size()));
        return samples[std::min(index, samples.size() - 1)];
    };
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    return {static_cast<std::int64_t>(samples.size()), at(median), at(p95), at(p99)};
}

} // namespace quetzal
