#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The state of a target's event stream after the bytes received so far. */
enum class stream_state
{
    /** More events are expected. */
    Open,
    /** The terminating event was received. */
    Complete,
    /** An event is missing; the stream has to be resumed at nextEvent(). */
    Gap,
    /** An event belongs to another request. */
    Mismatched,
    /** An event is malformed. */
    Malformed,
};

/**
 * Verifies a server-sent event stream of a model engine before it is forwarded.
 *
 * Accepts bytes as they are received and returns complete events, each once, in order and only for
 * the expected request. Drops duplicate events, which a resumed stream may contain.
 */
class stream_verifier
{
public:
    explicit stream_verifier(std::string expectedRequestId);

    /** Processes received bytes and returns the text of the events that may be forwarded. */
    std::string feed(std::string_view bytes);
    /** Discards an incomplete event before a resumed stream begins. */
    void beginResumption();

    stream_state state() const { return m_state; }
    /** Returns the number of the next expected event. */
    std::int64_t nextEvent() const { return m_nextEvent; }
    /** Returns the units produced: the reported usage, or else the count of content events. */
    double units() const { return m_reportedUnits > 0.0 ? m_reportedUnits : m_contentEvents; }
    /** True if events were forwarded. */
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
