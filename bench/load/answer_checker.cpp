#include "bench/load/answer_checker.h"

#include "foundation/hashing/stable_hash.h"
#include "standins/common/completion_text.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace quetzal {

namespace {

constexpr int okStatus = 200;
constexpr std::string_view eventEnd = "\n\n";

/** Returns the value of a field of a server-sent event; empty if the event has no such field. */
std::string sseField(const std::string &event, const std::string &name)
{
    const std::string prefix = name + ": ";
    std::size_t position = 0;
    while (position < event.size()) {
        const std::size_t end = std::min(event.find('\n', position), event.size());
        if (event.compare(position, prefix.size(), prefix) == 0)
            return event.substr(position + prefix.size(), end - position - prefix.size());
        position = end + 1;
    }
    return "";
}

/** Returns the text that a chunk of a streamed completion carries; empty if it has none. */
std::string deltaContent(const nlohmann::json &chunk)
{
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty())
        return "";
    const nlohmann::json delta = choices->front().value("delta", nlohmann::json::object());
    return delta.value("content", "");
}

load_result wrongResult(int tokens = 0)
{
    return {.outcome = load_outcome::Wrong, .code = 0, .execution = "", .tokens = tokens};
}

load_result wholeResult(int tokens)
{
    return {.outcome = load_outcome::Complete, .code = 0, .execution = "", .tokens = tokens};
}

} // namespace

stream_checker::stream_checker(std::string message, int tokens)
    : m_message(std::move(message))
    , m_tokens(tokens)
{
}

int stream_checker::add(std::string_view bytes)
{
    const int before = m_received;
    m_pending += bytes;
    std::size_t end = 0;
    while ((end = m_pending.find(eventEnd)) != std::string::npos) {
        readEvent(m_pending.substr(0, end));
        m_pending.erase(0, end + eventEnd.size());
    }
    return m_received - before;
}

void stream_checker::readEvent(const std::string &event)
{
    const std::string data = sseField(event, "data");
    if (data.empty())
        return;
    if (m_done || m_error.code != 0) {
        m_wrong = true;
        return;
    }
    if (data == "[DONE]") {
        m_done = true;
        return;
    }
    if (sseField(event, "event") == "error") {
        m_error = readRejection(data);
        return;
    }
    const nlohmann::json chunk = nlohmann::json::parse(data, nullptr, false);
    const bool isCorrect = chunk.is_object() && m_received < m_tokens
        && deltaContent(chunk) == standins::completionToken(m_message, m_received);
    m_wrong = m_wrong || !isCorrect;
    ++m_received;
}

load_result stream_checker::finish(bool isTransferComplete) const
{
    if (m_wrong || m_error.outcome == load_outcome::Wrong)
        return wrongResult(m_received);
    if (m_error.code != 0) {
        load_result result = m_error;
        result.tokens = m_received;
        return result;
    }
    if (!m_done && !isTransferComplete)
        return {.outcome = load_outcome::Broken, .code = 0, .execution = "", .tokens = m_received};
    if (!m_done || m_received != m_tokens)
        return wrongResult(m_received);
    return wholeResult(m_received);
}

load_result checkCompletion(int status, const std::string &body, const std::string &message,
                            int tokens)
{
    if (status != okStatus)
        return readRejection(body);
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    const nlohmann::json::json_pointer content("/choices/0/message/content");
    if (!answer.is_object() || !answer.contains(content))
        return wrongResult();
    if (answer[content] != standins::completionText(message, tokens))
        return wrongResult();
    return wholeResult(tokens);
}

load_result checkPlainAnswer(int status, const std::string &body,
                             const std::string &callerRequestId, const std::string &method,
                             const std::string &path, const std::string &sentBody)
{
    if (status != okStatus)
        return readRejection(body);
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object())
        return wrongResult();
    const bool isCorrect = answer.value("callerRequestId", "") == callerRequestId
        && answer.value("method", "") == method && answer.value("path", "") == path
        && answer.value("bodyDigest", "") == sha256Hex(sentBody);
    return isCorrect ? wholeResult(0) : wrongResult();
}

load_result readRejection(const std::string &body)
{
    const nlohmann::json refusal = nlohmann::json::parse(body, nullptr, false);
    if (!refusal.is_object() || !refusal.contains("error") || !refusal["error"].is_object())
        return wrongResult();
    const nlohmann::json &error = refusal["error"];
    const auto code = error.find("code");
    const auto execution = error.find("execution");
    if (code == error.end() || !code->is_number_integer() || execution == error.end()
        || !execution->is_string())
        return wrongResult();
    return {.outcome = load_outcome::Refused,
            .code = code->get<int>(),
            .execution = execution->get<std::string>(),
            .tokens = 0};
}

} // namespace quetzal
