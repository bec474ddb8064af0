#pragma once

#include "telemetry/metrics/instruments.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace quetzal {

/** Label names and values, which identify a series of a metric. */
using metric_labels = std::map<std::string, std::string>;

/**
 * Owns the metrics of one process and formats them as Prometheus text.
 *
 * The first call with a name and labels creates the instrument, which exists as long as the
 * registry; callers can keep the reference to avoid repeated look-ups. A metric has at most
 * maxSeriesPerMetric series; further labels share one series with the label overflow="true".
 * A name must always be used with the same type of instrument. Thread-safe.
 */
class metric_registry
{
public:
    static constexpr std::size_t maxSeriesPerMetric = 2000;

    /** Returns a counter; its name should end in _total. */
    counter &counterFor(const std::string &name, const std::string &help,
                        const metric_labels &labels = {});
    /** Returns a gauge. */
    gauge &gaugeFor(const std::string &name, const std::string &help,
                    const metric_labels &labels = {});
    /** Returns a histogram of durations; its name should end in _seconds. */
    latency_histogram &histogramFor(const std::string &name, const std::string &help,
                                    const metric_labels &labels = {});

    /** Returns all metrics in version 0.0.4 of the Prometheus text format. */
    std::string text() const;

private:
    using instrument = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                                    std::unique_ptr<latency_histogram>>;

    /** All series of one metric. */
    struct family
    {
        std::string help;
        std::map<metric_labels, instrument> series;
    };

    template <typename Instrument>
    Instrument &findOrCreate(const std::string &name, const std::string &help,
                             const metric_labels &labels);

    mutable absl::Mutex m_mutex;
    std::map<std::string, family> m_families ABSL_GUARDED_BY(m_mutex);
};

} // namespace quetzal
