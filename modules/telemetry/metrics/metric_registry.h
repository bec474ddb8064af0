#pragma once

#include "telemetry/metrics/instruments.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace quetzal {

/** Names and values that tell the series of one metric apart. */
using metric_labels = std::map<std::string, std::string>;

/**
 * Holds the metrics of one process and prints them as Prometheus text.
 *
 * The first call for a name and labels creates the instrument; it lives as long as the registry, so
 * that callers keep the reference and pay for the look-up once. A metric has maxSeriesPerMetric
 * series at most; further labels share one series with the label overflow="true". Thread-safe.
 */
class metric_registry
{
public:
    static constexpr std::size_t maxSeriesPerMetric = 2000;

    /** A counter; its name should end in _total. */
    counter &counterFor(const std::string &name, const std::string &help,
                        const metric_labels &labels = {});
    gauge &gaugeFor(const std::string &name, const std::string &help,
                    const metric_labels &labels = {});
    /** A histogram of durations; its name should end in _seconds. */
    latency_histogram &histogramFor(const std::string &name, const std::string &help,
                                    const metric_labels &labels = {});

    /** All metrics in the text format of Prometheus 0.0.4. */
    std::string text() const;

private:
    using instrument = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                                    std::unique_ptr<latency_histogram>>;

    /** All series of one name. */
    struct family
    {
        std::string help;
        std::map<metric_labels, instrument> series;
    };

    template <typename Instrument>
    Instrument &find(const std::string &name, const std::string &help, const metric_labels &labels);

    mutable absl::Mutex m_mutex;
    std::map<std::string, family> m_families ABSL_GUARDED_BY(m_mutex);
};

} // namespace quetzal
