#pragma once

#include <absl/time/time.h>
#include <boost/histogram.hpp>

#include <atomic>
#include <cstdint>
#include <vector>

namespace quetzal {

/** A number that only grows. Thread-safe. */
class counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value {0};
};

/** A number that goes up and down. Thread-safe. */
class gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double amount);
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value {0.0};
};

/** One bucket of a histogram: how many recorded values were at most upperBound. */
struct histogram_bucket
{
    /** Seconds; infinite for the last bucket. */
    double upperBound = 0.0;
    std::uint64_t cumulativeCount = 0;

    bool operator==(const histogram_bucket &) const = default;
};

/** Durations in buckets of equal ratio from 0.1 ms to 1000 s. Thread-safe. */
class latency_histogram
{
public:
    latency_histogram();

    void record(absl::Duration duration);
    /** All buckets in ascending order. */
    std::vector<histogram_bucket> buckets() const;
    std::uint64_t count() const;
    /** Sum of the recorded durations in seconds. */
    double sumSeconds() const { return m_sumSeconds.value(); }
    /** The upper bound in seconds of the bucket that holds this part (0 to 1) of the values. */
    double quantile(double fraction) const;

private:
    using log_axis
        = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<
        boost::histogram::accumulators::thread_safe<std::uint64_t>>;

    boost::histogram::histogram<std::tuple<log_axis>, storage> m_histogram;
    gauge m_sumSeconds;
};

} // namespace quetzal
