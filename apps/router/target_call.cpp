#include "apps/router/target_call.h"

#include "transport/link/message_network.h"
#include "transport/process/monotonic_clock.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace quetzal {

namespace {

constexpr absl::Duration connectTimeout = absl::Seconds(1);
constexpr absl::Duration cancelTimeout = absl::Seconds(1);
constexpr int maxResumptions = 5;
constexpr int statusOk = 200;
constexpr int minAnswerStatus = 200;
constexpr int maxAnswerStatus = 599;
constexpr int serviceUnavailable = 503;
constexpr std::size_t maxAnswerBytes = std::size_t {64} * 1024 * 1024;

httplib::Client makeClient(const target_request &request, absl::Duration readTimeout)
{
    const endpoint address = parseEndpoint(request.address);
    httplib::Client client(address.ip, address.port);
    client.set_connection_timeout(absl::ToChronoMicroseconds(connectTimeout));
    client.set_read_timeout(absl::ToChronoMicroseconds(readTimeout));
    client.set_write_timeout(absl::ToChronoMicroseconds(request.idleTimeout));
    client.set_keep_alive(false);
    client.set_tcp_nodelay(true);
    return client;
}

httplib::Request makeRequest(const target_request &request)
{
    httplib::Request result;
    result.method = request.method;
    result.path = request.path;
    result.body = request.body;
    result.headers = {{"X-Request-Id", request.requestId},
                      {"X-Caller-Request-Id", request.callerRequestId},
                      {"traceparent", request.traceparent}};
    if (!request.contentType.empty())
        result.headers.emplace("Content-Type", request.contentType);
    return result;
}

absl::Duration remaining(const target_request &request)
{
    return std::max(request.deadline - monotonicNow(), absl::Milliseconds(1));
}

bool isConnectFailure(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

attempt_result refusedAttempt(const httplib::Response &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    std::string type;
    if (body.is_object() && body.contains("error") && body["error"].is_object())
        type = body["error"].value("type", "");
    const auto signal = type == "leaving" ? protocol::target_signal::Leaving
                                          : protocol::target_signal::Overloaded;
    return {.ending = attempt_ending::RejectedNotExecuted,
            .signal = signal,
            .targetInstance = response.get_header_value("X-Instance-Id")};
}

bool isRefusal(const httplib::Response &response)
{
    return response.status == serviceUnavailable
        && response.get_header_value("X-Not-Run") == "true";
}

/** Returns the result of an attempt that ended with a connection error or a timeout. */
attempt_result failedAttempt(httplib::Error error, absl::Duration idleTime, absl::Duration timeout)
{
    if (isConnectFailure(error))
        return {.ending = attempt_ending::NotSent,
                .signal = protocol::target_signal::ConnectionRefused};
    const bool timedOut = idleTime >= timeout;
    return {.ending = attempt_ending::LostBeforeAnswer,
            .signal = timedOut ? protocol::target_signal::Silent
                               : protocol::target_signal::ConnectionReset};
}

void cancelAtTarget(const target_request &request)
{
    if (!request.isModel)
        return;
    httplib::Client client = makeClient(request, cancelTimeout);
    client.Delete("/v1/requests/" + request.requestId);
}

/** True if the status is one of those that HTTP defines for an answer. */
bool isAnswerStatus(int status)
{
    return status >= minAnswerStatus && status <= maxAnswerStatus;
}

double unitsOfBody(const target_request &request, const std::string &body)
{
    if (!request.isModel)
        return 1.0;
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object())
        return 0.0;
    return answer["usage"].value("completion_tokens", 0.0);
}

bool isAnswerTo(const target_request &request, const httplib::Response &response)
{
    if (response.get_header_value("X-Request-Id") != request.requestId)
        return false;
    if (!request.isModel || response.status != statusOk)
        return true;
    const nlohmann::json answer = nlohmann::json::parse(response.body, nullptr, false);
    return answer.is_object() && answer.value("id", "") == request.requestId;
}

/** How one connection of a streamed request ended. */
struct connection_outcome
{
    httplib::Error error = httplib::Error::Success;
    std::optional<attempt_result> refused;
    bool mismatched = false;
    bool stopped = false;
    bool timedOut = false;
    bool unknownAtTarget = false;
    std::string instance;
};

/** Runs a streamed request; resumes it on a new connection when one breaks. */
class stream_runner
{
public:
    stream_runner(const target_request &request, const stream_sink &sink,
                  const std::function<void(double)> &onUnits)
        : m_request(request)
        , m_sink(sink)
        , m_onUnits(onUnits)
        , m_verifier(request.requestId)
    {
    }

    attempt_result run()
    {
        connection_outcome outcome
            = runConnection(makeRequest(m_request), m_request.firstByteTimeout);
        if (outcome.refused)
            return *outcome.refused;
        if (isConnectFailure(outcome.error))
            return failedAttempt(outcome.error, absl::ZeroDuration(), m_request.firstByteTimeout);
        int resumptions = 0;
        while (needsResumption(outcome) && resumptions < maxResumptions) {
            ++resumptions;
            outcome = resume();
        }
        return makeResult(outcome);
    }

private:
    bool needsResumption(const connection_outcome &outcome) const
    {
        const bool open
            = m_verifier.state() == stream_state::Open || m_verifier.state() == stream_state::Gap;
        const bool over = outcome.stopped || outcome.mismatched || outcome.unknownAtTarget;
        return open && !over && monotonicNow() < m_request.deadline;
    }

    connection_outcome resume()
    {
        m_verifier.beginResumption();
        httplib::Request request;
        request.method = "GET";
        request.path = "/v1/requests/" + m_request.requestId
            + "/stream?offset=" + std::to_string(m_verifier.nextEvent());
        return runConnection(request, m_request.idleTimeout);
    }

    connection_outcome runConnection(httplib::Request request, absl::Duration readTimeout)
    {
        connection_outcome outcome;
        const absl::Duration timeout = std::min(readTimeout, remaining(m_request));
        httplib::Client client = makeClient(m_request, timeout);
        absl::Time lastByte = monotonicNow();
        httplib::Response head;
        request.response_handler = [&](const httplib::Response &response) {
            head = response;
            outcome.instance = response.get_header_value("X-Instance-Id");
            const bool found = response.status == statusOk;
            outcome.mismatched
                = found && response.get_header_value("X-Request-Id") != m_request.requestId;
            return !outcome.mismatched;
        };
        request.content_receiver
            = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                  lastByte = monotonicNow();
                  if (head.status != statusOk) {
                      head.body.append(data, size);
                      return true;
                  }
                  return forwardToCaller(std::string_view(data, size), outcome);
              };
        const httplib::Result result = client.send(request);
        outcome.error = result.error();
        outcome.timedOut = monotonicNow() - lastByte >= timeout;
        if (isRefusal(head))
            outcome.refused = refusedAttempt(head);
        outcome.unknownAtTarget = head.status != 0 && head.status != statusOk;
        return outcome;
    }

    bool forwardToCaller(std::string_view bytes, connection_outcome &outcome)
    {
        const std::string text = m_verifier.feed(bytes);
        m_onUnits(m_verifier.units());
        const bool late = monotonicNow() >= m_request.deadline;
        const bool shouldContinue
            = !late && !m_request.isCancelled() && (text.empty() || m_sink(text));
        outcome.stopped = !shouldContinue;
        return shouldContinue && m_verifier.state() == stream_state::Open;
    }

    attempt_result makeResult(const connection_outcome &outcome)
    {
        attempt_result result {.units = m_verifier.units(), .targetInstance = outcome.instance};
        if (m_verifier.state() == stream_state::Complete) {
            result.ending = attempt_ending::Completed;
            return result;
        }
        cancelAtTarget(m_request);
        result.signal = outcome.timedOut ? protocol::target_signal::Silent
                                         : protocol::target_signal::ConnectionReset;
        if (outcome.stopped || monotonicNow() >= m_request.deadline) {
            result.ending = attempt_ending::Cancelled;
            result.signal = protocol::target_signal::None;
        } else if (m_verifier.hasStarted()) {
            result.ending = attempt_ending::LostDuringAnswer;
        } else if (outcome.mismatched || m_verifier.state() == stream_state::Mismatched) {
            result.ending = attempt_ending::Mismatched;
            result.signal = protocol::target_signal::None;
        } else {
            result.ending = attempt_ending::LostBeforeAnswer;
        }
        return result;
    }

    const target_request &m_request;
    const stream_sink &m_sink;
    const std::function<void(double)> &m_onUnits;
    stream_verifier m_verifier;
};

} // namespace

buffered_outcome callBuffered(const target_request &request)
{
    const absl::Duration timeout = std::min(request.firstByteTimeout, remaining(request));
    httplib::Client client = makeClient(request, timeout);
    httplib::Request sent = makeRequest(request);
    std::string body;
    httplib::Response head;
    sent.response_handler = [&head](const httplib::Response &response) {
        head = response;
        return true;
    };
    sent.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        return body.size() <= maxAnswerBytes && !request.isCancelled();
    };
    const absl::Time start = monotonicNow();
    const httplib::Result result = client.send(sent);
    if (!result) {
        cancelAtTarget(request);
        const bool late = monotonicNow() >= request.deadline && !isConnectFailure(result.error());
        if (late || request.isCancelled())
            return {{.ending = attempt_ending::Cancelled}, {}};
        return {failedAttempt(result.error(), monotonicNow() - start, timeout), {}};
    }
    head.body = std::move(body);
    if (!isAnswerStatus(head.status)) {
        cancelAtTarget(request);
        return {failedAttempt(httplib::Error::Read, monotonicNow() - start, timeout), {}};
    }
    if (isRefusal(head))
        return {refusedAttempt(head), {}};
    const std::string instance = head.get_header_value("X-Instance-Id");
    if (!isAnswerTo(request, head))
        return {{.ending = attempt_ending::Mismatched, .targetInstance = instance}, {}};
    const double units = unitsOfBody(request, head.body);
    return {{.ending = attempt_ending::Completed, .units = units, .targetInstance = instance},
            {head.status, head.get_header_value("Content-Type"), std::move(head.body)}};
}

attempt_result callStream(const target_request &request, const stream_sink &sink,
                          const std::function<void(double)> &onUnits)
{
    return stream_runner(request, sink, onUnits).run();
}

} // namespace quetzal
