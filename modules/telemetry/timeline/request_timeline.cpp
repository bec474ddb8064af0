#include "telemetry/timeline/request_timeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string_view>

namespace quetzal {

namespace {

using nlohmann::ordered_json;

/** Lines about the state of a router are included from this long before the request. */
constexpr std::int64_t stateBeforeRequestMs = 3000;
constexpr std::array<std::string_view, 4> hiddenFields {"timeMs", "vm", "event", "request"};

/** A parsed log line. */
struct timeline_entry
{
    std::int64_t timeMs = 0;
    std::string vm;
    std::string event;
    std::string request;
    ordered_json object;
};

/** The period in which one router handled the request. */
struct time_range
{
    std::int64_t firstMs = std::numeric_limits<std::int64_t>::max();
    std::int64_t lastMs = 0;
};

std::optional<timeline_entry> readLine(const std::string &text)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    const auto object = ordered_json::parse(text.substr(begin), nullptr, false);
    if (!object.is_object() || !object.contains("timeMs") || !object.contains("event"))
        return std::nullopt;
    return timeline_entry {.timeMs = object.value("timeMs", std::int64_t {0}),
                           .vm = object.value("vm", ""),
                           .event = object.value("event", ""),
                           .request = object.value("request", ""),
                           .object = object};
}

std::string describe(const timeline_entry &line, std::int64_t startMs)
{
    std::string text = (line.timeMs >= startMs ? "+" : "") + std::to_string(line.timeMs - startMs)
        + " ms  " + line.vm + "  " + line.event;
    for (const auto &member : line.object.items()) {
        const std::string &name = member.key();
        const auto &value = member.value();
        if (std::find(hiddenFields.begin(), hiddenFields.end(), name) == hiddenFields.end())
            text += "  " + name + "="
                + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

} // namespace

std::vector<std::string> makeRequestTimeline(const std::string &requestId,
                                             const std::vector<std::string> &logLines)
{
    std::vector<timeline_entry> lines;
    std::map<std::string, time_range> spans;
    std::int64_t startMs = std::numeric_limits<std::int64_t>::max();
    for (const std::string &text : logLines) {
        const auto line = readLine(text);
        if (!line)
            continue;
        lines.push_back(*line);
        if (line->request != requestId)
            continue;
        time_range &span = spans[line->vm];
        span.firstMs = std::min(span.firstMs, line->timeMs);
        span.lastMs = std::max(span.lastMs, line->timeMs);
        startMs = std::min(startMs, line->timeMs);
    }
    std::erase_if(lines, [&](const timeline_entry &line) {
        if (!line.request.empty())
            return line.request != requestId;
        const auto span = spans.find(line.vm);
        return span == spans.end() || line.timeMs < span->second.firstMs - stateBeforeRequestMs
            || line.timeMs > span->second.lastMs;
    });
    std::stable_sort(lines.begin(), lines.end(), [](const auto &left, const auto &right) {
        return left.timeMs < right.timeMs;
    });
    std::vector<std::string> timeline;
    for (const timeline_entry &line : lines)
        timeline.push_back(describe(line, startMs));
    return timeline;
}

} // namespace quetzal
