#pragma once

#include "telemetry/tracing/span_record.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

class tracer;

/** A span under way; its end hands it to the tracer. Movable, used by one thread at a time. */
class span
{
public:
    span(span &&other) noexcept;
    span &operator=(span &&) = delete;
    span(const span &) = delete;
    span &operator=(const span &) = delete;
    /** Ends the span now unless end() was called. */
    ~span();

    /** The context to pass on to the next hop and to child spans. */
    const trace_context &context() const { return m_record.context; }
    void setAttribute(std::string name, log_value value);
    void setError(std::string error);
    void end(absl::Time now);

private:
    friend class tracer;
    span(tracer *owner, span_record record);

    tracer *m_owner;
    span_record m_record;
};

/** Options of tracer. */
struct tracer_options
{
    span_resource resource;
    /** File that OTLP/JSON lines are appended to; empty to record no spans. */
    std::string file;
    /** Part of the traces that is recorded, from 0 to 1. */
    double sampledFraction = 1.0;
    /** Seed of the ids; 0 draws one from the system. */
    std::uint64_t seed = 0;
    /** Spans that may wait for the writer; further ones are dropped. */
    std::size_t maxQueuedSpans = 4096;
};

/**
 * Makes spans and writes the finished ones on a thread of its own.
 *
 * Never blocks its callers: spans beyond the queue's limit are dropped and counted. Thread-safe.
 */
class tracer
{
public:
    /** Throws std::system_error with SettingsInvalid when the file can't be opened. */
    explicit tracer(tracer_options options);
    /** Writes what is queued. */
    ~tracer();
    tracer(const tracer &) = delete;
    tracer &operator=(const tracer &) = delete;

    /** Begins a span below the parent, or the first span of a new trace. */
    span begin(std::string name, span_kind kind, const std::optional<trace_context> &parent,
               absl::Time now);
    /** Spans dropped because the queue was full. */
    std::uint64_t dropped() const;

private:
    friend class span;
    void record(span_record finished);

    class writer;
    tracer_options m_options;
    std::unique_ptr<writer> m_writer;
};

} // namespace quetzal
