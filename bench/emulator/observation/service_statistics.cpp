#include "emulator/observation/service_statistics.h"

#include <algorithm>
#include <numeric>

namespace quetzal::bench {

namespace {

/** Returns the quantile of sorted waiting times; zero if there are none. */
absl::Duration quantile(const std::vector<absl::Duration> &sorted, double fraction)
{
    if (sorted.empty())
        return absl::ZeroDuration();
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

/** Returns the mean of the lowest values; 1 if there are none. */
double meanOfLowest(std::vector<double> shares, std::size_t count)
{
    std::sort(shares.begin(), shares.end());
    shares.resize(std::min(shares.size(), count));
    if (shares.empty())
        return 1.0;
    return std::accumulate(shares.begin(), shares.end(), 0.0) / static_cast<double>(shares.size());
}

} // namespace

service_sum
service_statistics::sumIf(const std::function<bool(const service_record &)> &isIncluded) const
{
    service_sum sum;
    std::vector<absl::Duration> waits;
    for (const service_record &record : m_records) {
        if (record.outcome == service_outcome::Abandoned || !isIncluded(record))
            continue;
        ++sum.requests;
        sum.onTime += record.outcome == service_outcome::OnTime ? 1 : 0;
        sum.late += record.outcome == service_outcome::Late ? 1 : 0;
        sum.refused += record.outcome == service_outcome::Refused ? 1 : 0;
        sum.failed += record.outcome == service_outcome::Failed ? 1 : 0;
        sum.attainableWorth += record.attainableWorth;
        sum.earnedWorth += record.earnedWorth;
        if (record.earnedWorth > 0.0)
            waits.push_back(record.waited);
    }
    std::sort(waits.begin(), waits.end());
    constexpr double half = 0.5;
    constexpr double nineTenths = 0.9;
    sum.medianWait = quantile(waits, half);
    sum.p90Wait = quantile(waits, nineTenths);
    return sum;
}

service_sum service_statistics::total() const
{
    return sumIf([](const service_record &) { return true; });
}

service_sum service_statistics::ofClass(std::size_t classIndex) const
{
    return sumIf([&](const service_record &record) { return record.classIndex == classIndex; });
}

service_sum service_statistics::ofWorkspace(std::size_t workspace) const
{
    return sumIf([&](const service_record &record) { return record.workspace == workspace; });
}

service_sum service_statistics::ofWindow(absl::Time from, absl::Time to) const
{
    return sumIf(
        [&](const service_record &record) { return record.sentAt >= from && record.sentAt < to; });
}

double service_statistics::worstWorkspacesShare(std::size_t workspaces) const
{
    constexpr std::size_t tenth = 10;
    std::vector<double> shares;
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace)
        shares.push_back(ofWorkspace(workspace).share());
    return meanOfLowest(std::move(shares), (workspaces + tenth - 1) / tenth);
}

double service_statistics::worstClassShare(std::size_t classes) const
{
    double worst = 1.0;
    for (std::size_t index = 0; index < classes; ++index)
        worst = std::min(worst, ofClass(index).share());
    return worst;
}

double service_statistics::worstWindowsShare(absl::Time from, absl::Time to,
                                             absl::Duration length) const
{
    std::vector<double> shares;
    for (absl::Time start = from; start + length <= to; start += length)
        shares.push_back(ofWindow(start, start + length).share());
    return meanOfLowest(std::move(shares), 2);
}

} // namespace quetzal::bench
