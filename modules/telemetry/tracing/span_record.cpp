#include "telemetry/tracing/span_record.h"

#include <nlohmann/json.hpp>

namespace quetzal {

namespace {

using nlohmann::json;

constexpr int statusError = 2;

json toAttributeValue(bool value)
{
    return {{"boolValue", value}};
}

json toAttributeValue(std::int64_t value)
{
    return {{"intValue", std::to_string(value)}};
}

json toAttributeValue(double value)
{
    return {{"doubleValue", value}};
}

json toAttributeValue(const std::string &value)
{
    return {{"stringValue", value}};
}

json toAttribute(const log_field &field)
{
    const json value
        = std::visit([](const auto &held) { return toAttributeValue(held); }, field.value);
    return {{"key", field.name}, {"value", value}};
}

std::string toNanos(absl::Time time)
{
    return std::to_string(absl::ToUnixNanos(time));
}

json toSpan(const span_record &record)
{
    json span {{"traceId", record.context.traceId},
               {"spanId", record.context.spanId},
               {"name", record.name},
               {"kind", static_cast<int>(record.kind)},
               {"startTimeUnixNano", toNanos(record.start)},
               {"endTimeUnixNano", toNanos(record.end)},
               {"attributes", json::array()}};
    if (!record.parentSpanId.empty())
        span["parentSpanId"] = record.parentSpanId;
    for (const log_field &attribute : record.attributes)
        span["attributes"].push_back(toAttribute(attribute));
    if (!record.error.empty())
        span["status"] = {{"code", statusError}, {"message", record.error}};
    return span;
}

} // namespace

std::string toOtlpJson(const span_resource &resource, const std::vector<span_record> &spans)
{
    json list = json::array();
    for (const span_record &record : spans)
        list.push_back(toSpan(record));
    const json attributes = json::array(
        {toAttribute({"service.name", resource.program}), toAttribute({"host.name", resource.vm}),
         toAttribute({"cloud.availability_zone", resource.dataCentre})});
    const json scopeSpans {{"scope", {{"name", "quetzalreach"}}}, {"spans", list}};
    const json resourceSpans {{"resource", {{"attributes", attributes}}},
                              {"scopeSpans", json::array({scopeSpans})}};
    const json request {{"resourceSpans", json::array({resourceSpans})}};
    constexpr int noIndent = -1;
    return request.dump(noIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace quetzal
