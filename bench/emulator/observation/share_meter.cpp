#include "emulator/observation/share_meter.h"

#include <algorithm>

namespace quetzal::bench {

namespace {

std::int64_t secondOf(absl::Time time)
{
    return absl::ToUnixSeconds(time);
}

std::int64_t valueAt(const absl::btree_map<std::int64_t, std::int64_t> &series, std::int64_t second)
{
    const auto found = series.find(second);
    return found == series.end() ? 0 : found->second;
}

} // namespace

void share_meter::onRequested(const std::string &requestId, std::size_t workspace,
                              std::int64_t tokens, absl::Time now)
{
    workspace_series &series = m_workspaces[workspace];
    series.requested[secondOf(now)] += tokens;
    series.largestRequest = std::max(series.largestRequest, tokens);
    m_notStarted[requestId] = {.workspace = workspace, .tokens = tokens};
}

void share_meter::onExecutionStarted(const std::string &requestId, absl::Time now)
{
    const auto found = m_notStarted.find(requestId);
    if (found == m_notStarted.end())
        return;
    m_workspaces[found->second.workspace].served[secondOf(now)] += found->second.tokens;
    m_notStarted.erase(found);
}

void share_meter::onRefused(std::size_t workspace, absl::Time now)
{
    m_workspaces[workspace].waitingSeconds.insert(secondOf(now));
}

void share_meter::onLate(std::size_t workspace, absl::Time objectiveAt, absl::Time answeredAt)
{
    for (std::int64_t second = secondOf(objectiveAt); second <= secondOf(answeredAt); ++second)
        m_workspaces[workspace].waitingSeconds.insert(second);
}

std::int64_t share_meter::sumOf(const token_series &series, std::int64_t firstSecond)
{
    std::int64_t sum = 0;
    for (std::int64_t second = firstSecond; second < firstSecond + spanSeconds; ++second)
        sum += valueAt(series, second);
    return sum;
}

bool share_meter::isWaiting(const workspace_series &series, std::int64_t firstSecond) const
{
    for (std::int64_t second = firstSecond; second < firstSecond + spanSeconds; ++second) {
        if (!series.waitingSeconds.contains(second))
            return false;
    }
    return true;
}

const std::pair<const std::size_t, share_meter::workspace_series> &
share_meter::bestServed(std::int64_t first) const
{
    return *std::max_element(
        m_workspaces.begin(), m_workspaces.end(), [&](const auto &left, const auto &right) {
            return sumOf(left.second.served, first) < sumOf(right.second.served, first);
        });
}

share_meter::span_usage share_meter::usageOf(const workspace_series &series,
                                             const workspace_series &best, std::int64_t first)
{
    std::int64_t attainable = 0;
    for (std::int64_t second = first; second < first + spanSeconds; ++second)
        attainable += std::min(valueAt(series.requested, second), valueAt(best.served, second));
    return {.requestedTokens = sumOf(series.requested, first),
            .servedTokens = sumOf(series.served, first),
            .minimumTokens = attainable / 2 - toleratedRequests * series.largestRequest};
}

std::vector<share_violation> share_meter::violations(absl::Time from, absl::Time to) const
{
    std::vector<share_violation> found;
    for (std::int64_t first = secondOf(from); first + spanSeconds <= secondOf(to); ++first) {
        const auto &best = bestServed(first);
        for (const auto &[workspace, series] : m_workspaces) {
            if (!isWaiting(series, first))
                continue;
            const span_usage usage = usageOf(series, best.second, first);
            if (usage.servedTokens >= usage.minimumTokens)
                continue;
            found.push_back({.workspace = workspace,
                             .from = absl::FromUnixSeconds(first),
                             .requestedTokens = usage.requestedTokens,
                             .servedTokens = usage.servedTokens,
                             .best = best.first,
                             .bestServedTokens = sumOf(best.second.served, first)});
        }
    }
    return found;
}

std::vector<share_margin> share_meter::margins(absl::Time from, absl::Time to) const
{
    absl::btree_map<std::size_t, share_margin> lowest;
    for (std::int64_t first = secondOf(from); first + spanSeconds <= secondOf(to); ++first) {
        const auto &best = bestServed(first);
        for (const auto &[workspace, series] : m_workspaces) {
            const span_usage usage = usageOf(series, best.second, first);
            if (!isWaiting(series, first) || usage.minimumTokens <= 0)
                continue;
            const double ratio = static_cast<double>(usage.servedTokens)
                / static_cast<double>(usage.minimumTokens);
            const auto known = lowest.find(workspace);
            if (known == lowest.end() || ratio < known->second.ratio)
                lowest[workspace] = {
                    .workspace = workspace, .from = absl::FromUnixSeconds(first), .ratio = ratio};
        }
    }
    std::vector<share_margin> found;
    for (const auto &[workspace, margin] : lowest)
        found.push_back(margin);
    std::sort(found.begin(), found.end(),
              [](const auto &left, const auto &right) { return left.ratio < right.ratio; });
    return found;
}

std::string toText(const share_violation &violation)
{
    return "workspace " + std::to_string(violation.workspace) + " received "
        + std::to_string(violation.servedTokens) + " of "
        + std::to_string(violation.requestedTokens) + " tokens from "
        + absl::FormatTime(violation.from) + ", workspace " + std::to_string(violation.best)
        + " received " + std::to_string(violation.bestServedTokens);
}

} // namespace quetzal::bench
