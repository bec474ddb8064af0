#pragma once

#include "telemetry/log/log_line.h"
#include "telemetry/tracing/trace_context.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace quetzal {

/** The side of a call that a span describes, numbered as in OTLP. */
enum class span_kind
{
    Internal = 1,
    Server = 2,
    Client = 3,
};

/** A finished span. */
struct span_record
{
    trace_context context;
    /** Empty for the root span of a trace. */
    std::string parentSpanId;
    std::string name;
    span_kind kind = span_kind::Internal;
    absl::Time start;
    absl::Time end;
    std::vector<log_field> attributes;
    /** Error message; empty if the operation succeeded. */
    std::string error;

    bool operator==(const span_record &) const = default;
};

/** The process that recorded the spans. */
struct span_resource
{
    std::string program;
    std::string vm;
    std::string dataCentre;

    bool operator==(const span_resource &) const = default;
};

/** Formats spans as one OTLP/JSON ExportTraceServiceRequest without a line break. */
std::string toOtlpJson(const span_resource &resource, const std::vector<span_record> &spans);

} // namespace quetzal
