#pragma once

#include "foundation/random/random_source.h"

#include <optional>
#include <string>

namespace quetzal {

/** Identifies a span within a trace, as transmitted in a W3C traceparent header. */
struct trace_context
{
    /** 32 lower-case hexadecimal digits. */
    std::string traceId;
    /** 16 lower-case hexadecimal digits. */
    std::string spanId;
    bool sampled = false;

    bool operator==(const trace_context &) const = default;
};

/** Parses a traceparent header; std::nullopt if it is malformed or an id is all zeros. */
std::optional<trace_context> parseTraceparent(const std::string &header);
/** Formats a traceparent header of version 00. */
std::string toTraceparent(const trace_context &context);

/** Generates a random trace id. */
std::string makeTraceId(random_source &random);
/** Generates a random span id. */
std::string makeSpanId(random_source &random);

/**
 * True if a trace belongs to the recorded fraction (0 to 1) of all traces. The decision depends
 * only on the trace id and not on the caller's sampled flag, so that every hop with the same
 * fraction makes the same decision.
 */
bool isTraceSampled(const std::string &traceId, double fraction);

} // namespace quetzal
