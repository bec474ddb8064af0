#include "telemetry/metrics/metric_registry.h"

#include "foundation/errors/precondition.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <cmath>

namespace quetzal {

namespace {

std::string escapeLabel(const std::string &value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::string escapeHelp(const std::string &help)
{
    return absl::StrReplaceAll(help, {{"\\", "\\\\"}, {"\n", "\\n"}});
}

std::string labelText(const metric_labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels)
        absl::StrAppend(&text, text.empty() ? "" : ",", name, "=\"", escapeLabel(value), "\"");
    return text.empty() ? "" : "{" + text + "}";
}

std::string numberText(double value)
{
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    return absl::StrCat(value);
}

void appendSeries(std::string &text, const std::string &name, const metric_labels &labels,
                  const counter &series)
{
    absl::StrAppend(&text, name, labelText(labels), " ", series.value(), "\n");
}

void appendSeries(std::string &text, const std::string &name, const metric_labels &labels,
                  const gauge &series)
{
    absl::StrAppend(&text, name, labelText(labels), " ", numberText(series.value()), "\n");
}

void appendSeries(std::string &text, const std::string &name, const metric_labels &labels,
                  const latency_histogram &series)
{
    std::uint64_t count = 0;
    for (const histogram_bucket &bucket : series.buckets()) {
        metric_labels withBound = labels;
        withBound["le"] = numberText(bucket.upperBound);
        count = bucket.cumulativeCount;
        absl::StrAppend(&text, name, "_bucket", labelText(withBound), " ", count, "\n");
    }
    absl::StrAppend(&text, name, "_sum", labelText(labels), " ", numberText(series.sumSeconds()),
                    "\n");
    absl::StrAppend(&text, name, "_count", labelText(labels), " ", count, "\n");
}

const char *typeName(const counter & /*unused*/)
{
    return "counter";
}

const char *typeName(const gauge & /*unused*/)
{
    return "gauge";
}

const char *typeName(const latency_histogram & /*unused*/)
{
    return "histogram";
}

} // namespace

counter &metric_registry::counterFor(const std::string &name, const std::string &help,
                                     const metric_labels &labels)
{
    return findOrCreate<counter>(name, help, labels);
}

gauge &metric_registry::gaugeFor(const std::string &name, const std::string &help,
                                 const metric_labels &labels)
{
    return findOrCreate<gauge>(name, help, labels);
}

latency_histogram &metric_registry::histogramFor(const std::string &name, const std::string &help,
                                                 const metric_labels &labels)
{
    return findOrCreate<latency_histogram>(name, help, labels);
}

std::string metric_registry::text() const
{
    std::string text;
    const absl::MutexLock lock(&m_mutex);
    for (const auto &[name, family] : m_families) {
        const char *type = std::visit([](const auto &series) { return typeName(*series); },
                                      family.series.begin()->second);
        absl::StrAppend(&text, "# HELP ", name, " ", escapeHelp(family.help), "\n");
        absl::StrAppend(&text, "# TYPE ", name, " ", type, "\n");
        for (const auto &[labels, instrument] : family.series) {
            const auto append = [&text, &name = name, &labels = labels](const auto &series) {
                appendSeries(text, name, labels, *series);
            };
            std::visit(append, instrument);
        }
    }
    return text;
}

template <typename Instrument>
Instrument &metric_registry::findOrCreate(const std::string &name, const std::string &help,
                                          const metric_labels &labels)
{
    const absl::MutexLock lock(&m_mutex);
    family &metricFamily = m_families[name];
    auto found = metricFamily.series.find(labels);
    if (found == metricFamily.series.end()) {
        metricFamily.help = help;
        const bool isFull = metricFamily.series.size() >= maxSeriesPerMetric;
        const metric_labels seriesLabels = isFull ? metric_labels {{"overflow", "true"}} : labels;
        found = metricFamily.series.find(seriesLabels);
        if (found == metricFamily.series.end())
            found = metricFamily.series.emplace(seriesLabels, std::make_unique<Instrument>()).first;
    }
    auto *held = std::get_if<std::unique_ptr<Instrument>>(&found->second);
    QUETZAL_PRECONDITION(held != nullptr);
    return **held;
}

} // namespace quetzal
