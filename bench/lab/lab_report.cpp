#include "lab/lab_report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace quetzal::bench {

namespace {

using nlohmann::json;

constexpr double percent = 100.0;

/** Returns the results of one variant. */
std::vector<const lab_result *> resultsFor(const std::vector<lab_result> &results,
                                           const std::string &variant)
{
    std::vector<const lab_result *> found;
    for (const lab_result &result : results) {
        if (result.variant == variant)
            found.push_back(&result);
    }
    return found;
}

double mean(const std::vector<const lab_result *> &results,
            const std::function<double(const lab_result &)> &value)
{
    double sum = 0.0;
    for (const lab_result *result : results)
        sum += value(*result);
    return sum / static_cast<double>(results.size());
}

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string variantLine(const std::string &variant, const std::vector<const lab_result *> &results)
{
    double minValue = 1.0;
    double maxValue = 0.0;
    std::size_t violations = 0;
    for (const lab_result *result : results) {
        minValue = std::min(minValue, result->worth);
        maxValue = std::max(maxValue, result->worth);
        violations += result->violations.size();
    }
    return absl::StrFormat(
        "%-24s %6.3f  %5.3f to %5.3f %6.3f %6.3f %6.3f %6.3f %7.1f %6.1f %6.1f %8.0f %9zu\n",
        variant, mean(results, [](const lab_result &entry) { return entry.worth; }), minValue,
        maxValue, mean(results, [](const lab_result &entry) { return entry.total.share(); }),
        mean(results, [](const lab_result &entry) { return entry.worstWorkspaces; }),
        mean(results, [](const lab_result &entry) { return entry.worstWindows; }),
        mean(results, [](const lab_result &entry) { return entry.worstClass; }),
        percent
            * mean(results,
                   [](const lab_result &entry) {
                       return ratio(entry.total.refused, entry.total.requests);
                   }),
        percent
            * mean(results,
                   [](const lab_result &entry) {
                       return ratio(entry.total.failed, entry.total.requests);
                   }),
        percent
            * mean(results,
                   [](const lab_result &entry) {
                       return ratio(entry.total.late, entry.total.requests);
                   }),
        mean(results,
             [](const lab_result &entry) {
                 return static_cast<double>(entry.repeatedTokens) / 1000.0;
             }),
        violations);
}

std::string classLine(const std::string &variant, std::size_t index,
                      const std::vector<const lab_result *> &results)
{
    const auto sum = [index](const lab_result &entry) {
        return entry.classes[index].sum;
    };
    return absl::StrFormat(
        "%-24s %-20s %6.3f %7.1f %6.1f %6.1f %9.0f %9.0f\n", variant,
        results.front()->classes[index].name,
        mean(results, [&](const lab_result &entry) { return sum(entry).share(); }),
        percent
            * mean(results,
                   [&](const lab_result &entry) {
                       return ratio(sum(entry).refused, sum(entry).requests);
                   }),
        percent
            * mean(results,
                   [&](const lab_result &entry) {
                       return ratio(sum(entry).failed, sum(entry).requests);
                   }),
        percent
            * mean(results,
                   [&](const lab_result &entry) {
                       return ratio(sum(entry).late, sum(entry).requests);
                   }),
        mean(results,
             [&](const lab_result &entry) {
                 return absl::ToDoubleMilliseconds(sum(entry).medianWait);
             }),
        mean(results, [&](const lab_result &entry) {
            return absl::ToDoubleMilliseconds(sum(entry).p90Wait);
        }));
}

json sumAsJson(const service_sum &sum)
{
    return {{"requests", sum.requests},
            {"onTime", sum.onTime},
            {"late", sum.late},
            {"refused", sum.refused},
            {"failed", sum.failed},
            {"share", sum.share()},
            {"medianWaitMs", absl::ToDoubleMilliseconds(sum.medianWait)},
            {"slowestTenthWaitMs", absl::ToDoubleMilliseconds(sum.p90Wait)}};
}

/** Returns a bar chart with a bar for each label; values are from 0 to 1. */
std::string barChart(const std::string &title,
                     const std::vector<std::pair<std::string, double>> &values)
{
    constexpr int rowHeight = 20;
    constexpr int labelWidth = 200;
    constexpr double barWidth = 500.0;
    std::string svg = absl::StrFormat("<h3>%s</h3><svg width=\"800\" height=\"%zu\">", title,
                                      values.size() * rowHeight + 4);
    int top = 0;
    for (const auto &[label, value] : values) {
        absl::StrAppendFormat(
            &svg,
            "<text x=\"0\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%.1f\" "
            "height=\"14\" fill=\"#48c\"/><text x=\"%.1f\" y=\"%d\">%.3f</text>",
            top + 14, label, labelWidth, top + 2, value * barWidth,
            labelWidth + value * barWidth + 6, top + 14, value);
        top += rowHeight;
    }
    return svg + "</svg>\n";
}

/** Returns a line chart over time, scaled to the maximum value. */
std::string timeline(const std::string &title, const std::vector<lab_sample> &samples,
                     const std::function<double(const lab_sample &)> &value)
{
    constexpr double width = 760.0;
    constexpr double height = 120.0;
    double maxValue = 1e-9;
    for (const lab_sample &sample : samples)
        maxValue = std::max(maxValue, value(sample));
    std::string points;
    for (const lab_sample &sample : samples)
        absl::StrAppendFormat(&points, "%.1f,%.1f ",
                              sample.seconds / samples.back().seconds * width,
                              height - value(sample) / maxValue * height);
    return absl::StrFormat(
        "<h3>%s (most %.2f)</h3><svg width=\"780\" height=\"130\"><polyline "
        "points=\"%s\" fill=\"none\" stroke=\"#c44\" stroke-width=\"2\"/></svg>\n",
        title, maxValue, points);
}

} // namespace

std::string toTable(const lab_experiment &experiment, const std::vector<lab_result> &results)
{
    std::string text = absl::StrFormat(
        "%s: %d VMs, %zu seeds, %g s\n%-24s %6s  %-14s %6s %6s %6s %6s %7s %6s %6s %8s %9s\n",
        experiment.name, experiment.fleet.vms, experiment.seeds.size(),
        absl::ToDoubleSeconds(experiment.duration), "way", "worth", "over seeds", "whole", "wspace",
        "window", "kind", "refused", "failed", "late", "read k", "promises");
    for (const policy_variant &variant : experiment.variants)
        text += variantLine(variant.name, resultsFor(results, variant.name));
    absl::StrAppendFormat(&text, "\n%-24s %-20s %6s %7s %6s %6s %9s %9s\n", "way", "kind", "share",
                          "refused", "failed", "late", "median ms", "tenth ms");
    for (const policy_variant &variant : experiment.variants) {
        const auto found = resultsFor(results, variant.name);
        for (std::size_t index = 0; index < experiment.load.classes.size(); ++index)
            text += classLine(variant.name, index, found);
    }
    return text;
}

std::string toJson(const lab_experiment &experiment, const std::vector<lab_result> &results)
{
    json document {{"experiment", experiment.name}, {"runs", json::array()}};
    for (const lab_result &result : results) {
        json run {{"way", result.variant},
                  {"seed", result.seed},
                  {"worth", result.worth},
                  {"total", sumAsJson(result.total)},
                  {"worstWorkspaces", result.worstWorkspaces},
                  {"worstWindows", result.worstWindows},
                  {"worstClass", result.worstClass},
                  {"workspaceShares", result.workspaceShares},
                  {"promptTokens", result.promptTokens},
                  {"repeatedTokens", result.repeatedTokens},
                  {"violations", result.violations}};
        for (const class_result &kind : result.classes)
            run["classes"][kind.name] = sumAsJson(kind.sum);
        document["runs"].push_back(std::move(run));
    }
    constexpr int indent = 2;
    return document.dump(indent) + "\n";
}

std::string toHtml(const lab_experiment &experiment, const std::vector<lab_result> &results)
{
    std::string page = "<!doctype html><meta charset=\"utf-8\"><title>" + experiment.name
        + "</title><style>body{font:14px sans-serif}text{font:13px sans-serif}</style><h1>"
        + experiment.name + "</h1>\n";
    std::vector<std::pair<std::string, double>> worths;
    for (const policy_variant &variant : experiment.variants)
        worths.emplace_back(variant.name,
                            mean(resultsFor(results, variant.name),
                                 [](const lab_result &entry) { return entry.worth; }));
    page += barChart("Worth by way", worths);
    for (const policy_variant &variant : experiment.variants) {
        const lab_result &first = *resultsFor(results, variant.name).front();
        page += "<h2>" + variant.name + ", first seed</h2>\n";
        std::vector<std::pair<std::string, double>> kinds;
        for (const class_result &kind : first.classes)
            kinds.emplace_back(kind.name, kind.sum.share());
        page += barChart("Share by kind", kinds);
        std::vector<std::pair<std::string, double>> workspaces;
        for (std::size_t index = 0; index < first.workspaceShares.size(); ++index)
            workspaces.emplace_back(absl::StrCat("w", index + 1), first.workspaceShares[index]);
        page += barChart("Share by workspace", workspaces);
        page += timeline("Requests at the targets", first.timeline,
                         [](const lab_sample &sample) { return static_cast<double>(sample.load); });
        page += timeline("Share of each second", first.timeline,
                         [](const lab_sample &sample) { return sample.share; });
        page += timeline("Refused in each second", first.timeline, [](const lab_sample &sample) {
            return static_cast<double>(sample.refused);
        });
    }
    return page;
}

} // namespace quetzal::bench
