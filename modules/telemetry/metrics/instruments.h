#pragma once

#include <absl/time/time.h>
#include <boost/histogram.hpp>

#include <atomic>
#include <cstdint>
#include <vector>

namespace quetzal {

/** A monotonically increasing counter. Thread-safe. */
class counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value {0};
};

/** A value that can increase and decrease. Thread-safe. */
class gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double amount);
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value {0.0};
};

/** A cumulative histogram bucket: the number of recorded values up to upperBound. */
struct histogram_bucket
{
    /** In seconds; infinite for the last bucket. */
    double upperBound = 0.0;
    std::uint64_t cumulativeCount = 0;

    bool operator==(const histogram_bucket &) const = default;
};

/** A histogram of durations with logarithmic buckets from 0.1 ms to 1000 s. Thread-safe. */
class latency_histogram
{
public:
    latency_histogram();

    void record(absl::Duration duration);
    /** Returns all buckets in ascending order. */
    std::vector<histogram_bucket> buckets() const;
    std::uint64_t count() const;
    /** Returns the sum of the recorded durations in seconds. */
    double sumSeconds() const { return m_sumSeconds.value(); }
    /** Returns the upper bound, in seconds, of the bucket that contains a quantile (0 to 1). */
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
