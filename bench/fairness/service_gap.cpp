#include "fairness/service_gap.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

service_gap::service_gap(std::vector<double> shares)
    : m_shares(std::move(shares))
    , m_weightedService(m_shares.size())
    , m_ranges(m_shares.size() * m_shares.size())
{
}

void service_gap::observe(int first, int second)
{
    if (first > second)
        std::swap(first, second);
    range &pairRange = m_ranges[first * m_shares.size() + second];
    const double difference = m_weightedService[first] - m_weightedService[second];
    pairRange.lowest = std::min(pairRange.lowest, difference);
    pairRange.highest = std::max(pairRange.highest, difference);
}

void service_gap::add(int workspace, double amount)
{
    m_weightedService[workspace] += amount / m_shares[workspace];
    for (int other = 0; other < static_cast<int>(m_shares.size()); ++other)
        if (other != workspace)
            observe(workspace, other);
}

void service_gap::addAll(const std::vector<double> &amounts)
{
    const int count = static_cast<int>(m_shares.size());
    for (int workspace = 0; workspace < count; ++workspace)
        m_weightedService[workspace] += amounts[workspace] / m_shares[workspace];
    for (int first = 0; first < count; ++first)
        for (int second = first + 1; second < count; ++second)
            observe(first, second);
}

double service_gap::between(int first, int second) const
{
    const auto [low, high] = std::minmax(first, second);
    const range &pairRange = m_ranges[low * m_shares.size() + high];
    return pairRange.highest - pairRange.lowest;
}

double service_gap::maxGap(const std::vector<double> &largest) const
{
    double result = 0.0;
    const int count = static_cast<int>(m_shares.size());
    for (int first = 0; first < count; ++first)
        for (int second = first + 1; second < count; ++second) {
            const double unit
                = std::max(largest[first] / m_shares[first], largest[second] / m_shares[second]);
            if (unit > 0.0)
                result = std::max(result, between(first, second) / unit);
        }
    return result;
}

double service_gap::served(int workspace) const
{
    return m_weightedService[workspace] * m_shares[workspace];
}

} // namespace quetzal::bench
