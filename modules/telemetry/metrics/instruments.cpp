#include "telemetry/metrics/instruments.h"

#include <limits>
#include <tuple>

namespace quetzal {

namespace {

constexpr double minSeconds = 1e-4;
constexpr double maxSeconds = 1e3;
/** Four buckets per decade of the range. */
constexpr unsigned bucketCount = 28;

} // namespace

void gauge::add(double amount)
{
    double value = m_value.load(std::memory_order_relaxed);
    while (!m_value.compare_exchange_weak(value, value + amount, std::memory_order_relaxed)) { }
}

latency_histogram::latency_histogram()
    : m_histogram(std::make_tuple(log_axis(bucketCount, minSeconds, maxSeconds)), storage())
{
}

void latency_histogram::record(absl::Duration duration)
{
    const double seconds = absl::ToDoubleSeconds(duration);
    m_histogram(seconds > 0.0 ? seconds : 0.0);
    m_sumSeconds.add(seconds);
}

std::vector<histogram_bucket> latency_histogram::buckets() const
{
    std::vector<histogram_bucket> buckets;
    std::uint64_t total = 0;
    const auto &axis = m_histogram.axis();
    constexpr int underflow = -1;
    for (int index = underflow; index <= axis.size(); ++index) {
        total += m_histogram.at(index).load();
        const double upper
            = index < axis.size() ? axis.value(index + 1) : std::numeric_limits<double>::infinity();
        buckets.push_back({.upperBound = upper, .cumulativeCount = total});
    }
    return buckets;
}

std::uint64_t latency_histogram::count() const
{
    return buckets().back().cumulativeCount;
}

double latency_histogram::quantile(double fraction) const
{
    const std::vector<histogram_bucket> all = buckets();
    const double requiredCount = fraction * static_cast<double>(all.back().cumulativeCount);
    for (const histogram_bucket &bucket : all) {
        if (static_cast<double>(bucket.cumulativeCount) >= requiredCount)
            return bucket.upperBound;
    }
    return all.back().upperBound;
}

} // namespace quetzal
