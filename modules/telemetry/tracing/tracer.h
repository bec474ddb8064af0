#pragma once

#include "telemetry/tracing/span_record.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

class tracer;

/**
 * A running span, which is passed to its tracer when it ends. Movable; may be used by only one
 * thread at a time and must not outlive the tracer.
 */
class span
{
public:
    span(span &&other) noexcept;
    span &operator=(span &&) = delete;
    span(const span &) = delete;
    span &operator=(const span &) = delete;
    /** Ends the span at the current time unless end() has been called. */
    ~span();

    /** Returns the context to propagate to the next hop and to child spans. */
    const trace_context &context() const { return m_record.context; }
    void setAttribute(std::string name, log_value value);
    /** Marks the span as failed with an error message. */
    void setError(std::string error);
    /** Ends the span; further calls have no effect. */
    void end(absl::Time now);

private:
    friend class tracer;
    span(tracer *owner, span_record record);

    tracer *m_owner;
    span_record m_record;
};

/** Options of a tracer. */
struct tracer_options
{
    span_resource resource;
    /** File to which OTLP/JSON lines are appended; empty to record no spans. */
    std::string file;
    /** Fraction of the traces that is recorded, from 0 to 1. */
    double sampledFraction = 1.0;
    /** Seed of the generated ids; 0 obtains a random one from the system. */
    std::uint64_t seed = 0;
    /** Maximum number of finished spans in the queue; further spans are dropped. */
    std::size_t maxQueuedSpans = 4096;
};

/**
 * Creates spans and writes finished ones to a file on a separate thread.
 *
 * Never blocks on the file: spans beyond the limit of the queue are dropped and counted.
 * Thread-safe.
 */
class tracer
{
public:
    /** Throws std::system_error with SettingsInvalid if the file cannot be opened. */
    explicit tracer(tracer_options options);
    /** Writes the queued spans. */
    ~tracer();
    tracer(const tracer &) = delete;
    tracer &operator=(const tracer &) = delete;

    /** Starts a child span of the parent, or the root span of a new trace without one. */
    span begin(std::string name, span_kind kind, const std::optional<trace_context> &parent,
               absl::Time now);
    /** Returns the number of spans dropped because the queue was full. */
    std::uint64_t droppedCount() const;

private:
    friend class span;
    void record(span_record finished);

    class writer;
    tracer_options m_options;
    std::unique_ptr<writer> m_writer;
};

} // namespace quetzal
