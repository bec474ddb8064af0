#pragma once

#include "foundation/random/random_source.h"

#include <optional>
#include <string>

namespace quetzal {

/** The position of a span in a trace, as a W3C traceparent header carries it. */
struct trace_context
{
    /** 32 lower-case hexadecimal digits. */
    std::string traceId;
    /** 16 lower-case hexadecimal digits. */
    std::string spanId;
    bool sampled = false;

    bool operator==(const trace_context &) const = default;
};

/** Reads a traceparent header; nothing when it is malformed or an id is all zeros. */
std::optional<trace_context> parseTraceparent(const std::string &header);
/** The header of version 00. */
std::string toTraceparent(const trace_context &context);

std::string makeTraceId(random_source &random);
std::string makeSpanId(random_source &random);

/**
 * True when a trace belongs to the part (0 to 1) of traces that is recorded. Every hop with the
 * same part decides alike, because only the trace id counts; the caller's own flag does not.
 */
bool isTraceSampled(const std::string &traceId, double fraction);

} // namespace quetzal
