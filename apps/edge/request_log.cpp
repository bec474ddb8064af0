#include "apps/edge/request_log.h"

#include "apps/edge/quarantine_log.h"

#include <absl/strings/str_join.h>

#include <span>

namespace quetzal {

namespace {

/** Returns the fair share in tokens as logged: -1 if there is no limit. */
std::int64_t fairShareTokens(const share_state &share)
{
    return static_cast<std::int64_t>(share.fairShareTokens.value_or(-1.0));
}

/** Returns the identifiers of parts as callers send them, separated by commas. */
std::string textOf(std::span<const prompt_part> parts)
{
    return absl::StrJoin(parts, ",", [](std::string *text, const prompt_part &part) {
        text->append(partText(part.id));
    });
}

} // namespace

request_log::request_log(edge_context &context, const request_arrival &arrival)
    : m_context(context)
    , m_arrival(arrival)
{
}

void request_log::setDescription(const request_description &description)
{
    m_requestId = description.id;
    m_sharedParts = textOf(sharedPartsOf(description.prompt));
    m_tokens = costInTokens(description);
}

std::int64_t request_log::ageMs(absl::Time now) const
{
    return absl::ToInt64Milliseconds(now - m_arrival.firstByteAt);
}

void request_log::sent(const admitted_request &request, const placement &destination,
                       absl::Time now)
{
    m_context.metrics.onSend();
    m_context.log.line("request_sent")
        .text("request", m_requestId)
        .text("route", request.matchedRoute->name)
        .text("workspace", request.workspace)
        .text("target", destination.target)
        .number("configuration", request.table->version())
        .number("ageMs", ageMs(now))
        .number("backlogMs", absl::ToInt64Milliseconds(destination.backlog))
        .number("peerBacklogMs", absl::ToInt64Milliseconds(destination.peerBacklog))
        .number("limitMs", absl::ToInt64Milliseconds(destination.limit))
        .number("requestedTokens", static_cast<std::int64_t>(destination.share.requestedTokens))
        .number("servedTokens", static_cast<std::int64_t>(destination.share.servedTokens))
        .number("owedTokens", fairShareTokens(destination.share))
        .number("workMs", absl::ToInt64Milliseconds(destination.work))
        .number("missingTokens", destination.missingTokens)
        .number("maxConnections", destination.maxConnections)
        .number("candidates", static_cast<std::int64_t>(destination.candidates))
        .number("routersHeard",
                static_cast<std::int64_t>(m_context.node.fleet().activePeerCount(now)))
        .flag("cold", destination.isCold);
}

void request_log::answerBegan(request_kind kind, absl::Time now)
{
    m_answerBeganMs = ageMs(now);
    m_context.metrics.onFirstByte(kind, now - m_arrival.firstByteAt);
}

void request_log::answerMismatched(std::string_view target, std::string_view answeredId, int status)
{
    m_context.log.line("answer_mismatched")
        .text("request", m_requestId)
        .text("target", target)
        .text("answered", answeredId)
        .number("status", status);
}

void request_log::attemptFailed(const record_attempt_failed &failed, absl::Time now)
{
    const std::string failure = toText(failed.failure);
    m_context.metrics.onAttemptFailed(failure);
    m_context.log.line("attempt_failed")
        .text("request", m_requestId)
        .text("target", failed.target)
        .text("failure", failure)
        .text("reason", failed.reason)
        .text("sharedParts", m_sharedParts)
        .number("answerBeganMs", m_answerBeganMs)
        .number("ageMs", ageMs(now));
}

void request_log::overloaded(const admitted_request &request, const overload_cause &cause,
                             absl::Time now)
{
    m_context.log.line("request_overload")
        .text("request", m_requestId)
        .text("route", request.matchedRoute->name)
        .text("workspace", request.workspace)
        .flag("beyondShare", cause.isBeyondShare)
        .text("bestTarget", cause.target)
        .number("configuration", request.table->version())
        .number("backlogMs", absl::ToInt64Milliseconds(cause.backlog))
        .number("peerBacklogMs", absl::ToInt64Milliseconds(cause.peerBacklog))
        .number("limitMs", absl::ToInt64Milliseconds(cause.limit))
        .number("requestedTokens", static_cast<std::int64_t>(cause.share.requestedTokens))
        .number("servedTokens", static_cast<std::int64_t>(cause.share.servedTokens))
        .number("owedTokens", fairShareTokens(cause.share))
        .number("routersHeard",
                static_cast<std::int64_t>(m_context.node.fleet().activePeerCount(now)));
}

void request_log::partHeld(const admitted_request &request, const held_part_cause &cause)
{
    m_context.log.line("request_part_held")
        .text("request", m_requestId)
        .text("route", request.matchedRoute->name)
        .text("workspace", request.workspace)
        .text("part", partText(cause.part))
        .number("endedTargets", static_cast<std::int64_t>(cause.ends))
        .number("heldForMs", absl::ToInt64Milliseconds(cause.heldFor));
}

void request_log::ended(const admitted_request *request, const record_request_ended &end,
                        absl::Time now)
{
    const int code = static_cast<int>(end.code);
    const auto &table = m_context.node.routes();
    m_context.metrics.onEnd(std::string(end.outcome), code, now - m_arrival.firstByteAt);
    m_context.log.line("request_ended")
        .text("request", m_requestId)
        .text("route", request ? request->matchedRoute->name : std::string())
        .text("workspace", request ? request->workspace : std::string())
        .number("tokens", m_tokens)
        .number("bodyBytes", static_cast<std::int64_t>(m_arrival.bodyBytes))
        .number("ordinal", m_arrival.ordinal)
        .number("quietMs", absl::ToInt64Milliseconds(m_arrival.quietTime))
        .number("configuration", table ? table->version() : 0)
        .text("outcome", end.outcome)
        .number("status", end.status)
        .number("code", code)
        .number("ageMs", ageMs(now))
        .number("answerBeganMs", m_answerBeganMs)
        .text("target", end.target)
        .number("mayHaveRun", end.mayHaveRun);
}

} // namespace quetzal
