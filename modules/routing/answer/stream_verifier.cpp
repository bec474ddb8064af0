#include "routing/answer/stream_verifier.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace quetzal {

namespace {

constexpr std::string_view eventDelimiter = "\n\n";
constexpr std::string_view doneMarker = "[DONE]";

/** The fields of one event that the verifier uses. */
struct event_fields
{
    std::int64_t number = -1;
    std::string data;
};

bool parseField(const std::string &line, std::string_view name, std::string &value)
{
    if (!line.starts_with(name))
        return false;
    value = line.substr(name.size());
    if (value.starts_with(' '))
        value.erase(0, 1);
    return true;
}

event_fields parseEvent(const std::string &event)
{
    event_fields fields;
    for (const std::string &line : std::vector<std::string>(absl::StrSplit(event, '\n'))) {
        std::string value;
        if (parseField(line, "id:", value)) {
            if (!absl::SimpleAtoi(value, &fields.number))
                fields.number = -1;
        } else if (parseField(line, "data:", value)) {
            fields.data = value;
        }
    }
    return fields;
}

} // namespace

stream_verifier::stream_verifier(std::string expectedRequestId)
    : m_expectedRequestId(std::move(expectedRequestId))
{
}

std::string stream_verifier::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::string forwarded;
    std::size_t end = m_buffer.find(eventDelimiter);
    while (end != std::string::npos && m_state == stream_state::Open) {
        const std::string event = m_buffer.substr(0, end);
        m_buffer.erase(0, end + eventDelimiter.size());
        forwarded += processEvent(event);
        end = m_buffer.find(eventDelimiter);
    }
    return forwarded;
}

void stream_verifier::beginResumption()
{
    m_buffer.clear();
    if (m_state == stream_state::Gap)
        m_state = stream_state::Open;
}

std::string stream_verifier::processEvent(const std::string &event)
{
    const event_fields fields = parseEvent(event);
    if (fields.data == doneMarker) {
        m_state = stream_state::Complete;
        return event + std::string(eventDelimiter);
    }
    if (fields.number >= 0 && fields.number < m_nextEvent)
        return {};
    if (fields.number > m_nextEvent) {
        m_state = stream_state::Gap;
        return {};
    }
    const bool isComment = fields.number < 0 && fields.data.empty();
    if (isComment)
        return {};
    if (fields.number < 0) {
        m_state = stream_state::Malformed;
        return {};
    }
    if (!processData(fields.data))
        return {};
    ++m_nextEvent;
    return event + std::string(eventDelimiter);
}

bool stream_verifier::processData(const std::string &data)
{
    const nlohmann::json chunk = nlohmann::json::parse(data, nullptr, false);
    if (!chunk.is_object()) {
        m_state = stream_state::Malformed;
        return false;
    }
    if (chunk.value("id", "") != m_expectedRequestId) {
        m_state = stream_state::Mismatched;
        return false;
    }
    const bool hasUsage = chunk.contains("usage") && chunk["usage"].is_object();
    if (hasUsage)
        m_reportedUnits = chunk["usage"].value("completion_tokens", 0.0);
    else
        m_contentEvents += 1.0;
    return true;
}

} // namespace quetzal
