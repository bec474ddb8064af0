#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** What the bytes of a target's event stream amount to so far. */
enum class stream_state
{
    /** More events are expected. */
    Open,
    /** The terminating event has arrived. */
    Complete,
    /** An event is missing; the stream must be resumed at nextEvent(). */
    Gap,
    /** An event belongs to another request. */
    Mismatched,
    /** An event is not well-formed. */
    Malformed,
};

/**
 * Checks a server-sent event stream of a model engine before it is passed on.
 *
 * Bytes go in as they arrive; whole events come out once each, in order and only for the expected
 * request. Repeated events, as a resumed stream may bring, are left out.
 */
class stream_verifier
{
public:
    explicit stream_verifier(std::string expectedRequestId);

    /** Takes bytes and returns the text of the events that may be passed on. */
    std::string feed(std::string_view bytes);
    /** Forgets an incomplete event, before a resumed stream begins. */
    void beginResumption();

    stream_state state() const { return m_state; }
    /** Number of the next event that is expected. */
    std::int64_t nextEvent() const { return m_nextEvent; }
    /** Units produced: the reported usage, or else the events with content. */
    double units() const { return m_reportedUnits > 0.0 ? m_reportedUnits : m_contentEvents; }
    /** True when events were passed on. */
    bool hasStarted() const { return m_nextEvent > 0; }

private:
    std::string processEvent(const std::string &event);
    bool processData(const std::string &data);

    std::string m_expectedRequestId;
    std::string m_buffer;
    stream_state m_state = stream_state::Open;
    std::int64_t m_nextEvent = 0;
    double m_contentEvents = 0.0;
    double m_reportedUnits = 0.0;
};

} // namespace quetzal
