#include "forwarding/lifecycle/request_lifecycle.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quetzal {

namespace {

/**
 * Longer bodies of successful answers are streamed to the caller before they are complete; longer
 * error bodies and events are not received.
 */
constexpr std::size_t maxBufferedBodyBytes = std::size_t {1024} * 1024;
constexpr int statusServerError = 500;
/** A target that crashes under a prompt does so before it has written an answer for this long. */
constexpr absl::Duration soundAnswerTime = absl::Milliseconds(500);

/** True for statuses from which callers conclude that their request did not run. */
bool impliesNotExecuted(int status)
{
    constexpr int statuses[] = {408, 421, 429, 503};
    return std::find(std::begin(statuses), std::end(statuses), status) != std::end(statuses);
}

constexpr exchange_failure answerTooLong {
    .isSent = true, .isTargetAlive = true, .reason = "answer_too_long"};

} // namespace

head_decision request_lifecycle::onAnswerHead(const answer_description &answer, absl::Time now)
{
    if (m_isFinished || !m_isSent)
        return {.disposition = answer_disposition::Abandon};
    m_answer = answer;
    if (answer.running)
        m_node.onReport(m_target,
                        {.running = *answer.running,
                         .waiting = answer.waiting,
                         .slots = answer.slots,
                         .at = now});
    const bool isUnnamedRefusal
        = answer.requestId.empty() && answer.isNotExecuted && answer.isOnNewConnection;
    if (answer.requestId != m_description.id && !isUnnamedRefusal)
        return {.disposition = answer_disposition::Skip};
    m_node.onNotice(m_number, m_target, answer, now);
    if (answer.isSuccess() && (!answer.isSigned || answer.isEncoded))
        return {.disposition = answer_disposition::Abandon};
    head_decision decision {.disposition = answer_disposition::Accept};
    const bool isStream
        = answer.isSuccess() && m_admitted->matchedRoute->kind == request_kind::Stream;
    m_relay = isStream ? relay::StreamPending : relay::Buffered;
    if (!isStream && !answer.isNotExecuted)
        recordAnswerBegan(decision.actions, now);
    return decision;
}

void request_lifecycle::recordAnswerBegan(request_actions &actions, absl::Time now)
{
    m_answerBegan = true;
    m_answerBeganAt = now;
    m_node.onAnswerBegan(m_number, m_target, now);
    actions.emplace_back(record_answer_began {});
}

void request_lifecycle::recordPromptSound(absl::Time now)
{
    if (!std::exchange(m_isPromptSound, true))
        m_node.onPromptSound(m_number, now);
}

request_actions request_lifecycle::onAnswerBody(std::string_view text, absl::Time now)
{
    request_actions actions;
    if (m_isFinished || !m_isSent)
        return actions;
    if (m_relay == relay::Buffered) {
        m_answerBody += text;
        if (!holdsTooMuch())
            return actions;
        if (!m_answer.isSuccess())
            return abandonAnswer(answerTooLong, now);
        beginStream(actions);
        actions.emplace_back(relay_body {.text = std::exchange(m_answerBody, {})});
        m_heldBytes.set(0);
        return actions;
    }
    if (!m_answerBegan)
        recordAnswerBegan(actions, now);
    if (now - m_answerBeganAt >= soundAnswerTime)
        recordPromptSound(now);
    m_eventBoundary.add(text);
    std::string completeText
        = m_admitted->matchedRoute->isResumable ? m_events.add(text) : std::string(text);
    if (holdsTooMuch())
        return abandonAnswer(answerTooLong, now);
    if (completeText.empty())
        return actions;
    if (m_relay == relay::StreamPending)
        beginStream(actions);
    actions.emplace_back(relay_body {.text = std::move(completeText)});
    return actions;
}

bool request_lifecycle::holdsTooMuch()
{
    const std::size_t bytes = m_answerBody.size() + m_events.partialBytes();
    m_heldBytes.set(bytes);
    return bytes > maxBufferedBodyBytes || m_heldBytes.isExceeded();
}

bool request_lifecycle::isInsideEvent() const
{
    const bool isStream = m_admitted->matchedRoute->kind == request_kind::Stream;
    return isStream && m_answer.isSuccess() && m_eventBoundary.isInsideEvent();
}

request_actions request_lifecycle::abandonAnswer(const exchange_failure &cause, absl::Time now)
{
    request_actions actions {release_target {.target = m_target, .isCancelled = true}};
    request_actions next = onSendFailed(cause, now);
    std::move(next.begin(), next.end(), std::back_inserter(actions));
    return actions;
}

void request_lifecycle::beginStream(request_actions &actions)
{
    m_relay = relay::Streaming;
    if (!std::exchange(m_isHeadRelayed, true))
        actions.emplace_back(begin_stream {});
}

request_actions request_lifecycle::onAnswerComplete(absl::Time now)
{
    request_actions actions;
    if (m_isFinished || !m_isSent)
        return actions;
    if (m_answer.isNotExecuted) {
        m_excluded.insert(m_target);
        if (m_answer.isFromOtherTarget)
            m_node.directory().markReplaced(m_target);
        release(exchange_end::RefusedUnrun, actions, now);
        retryOrFail(attempt_failure::RefusedUnrun, "status " + std::to_string(m_answer.status),
                    actions, now);
        return actions;
    }
    if (m_relay == relay::Buffered && m_answer.status >= statusServerError) {
        onServerError(actions, now);
        return actions;
    }
    if (isInsideEvent())
        return abandonAnswer({.isSent = true,
                              .isTargetAlive = !m_answer.endsWithConnection,
                              .reason = "ended_in_event"},
                             now);
    if (m_answer.isSuccess())
        recordPromptSound(now);
    release(exchange_end::Answered, actions, now);
    if (m_answer.isSuccess())
        m_node.onAnswerComplete(*m_admitted, m_description, now - m_sentAt);
    if (m_relay == relay::StreamPending)
        beginStream(actions);
    if (m_relay != relay::Streaming) {
        relayCompleteAnswer(actions, now);
        return actions;
    }
    finish({.outcome = "answered", .status = m_answer.status}, actions);
    actions.emplace_back(end_stream {});
    return actions;
}

void request_lifecycle::onServerError(request_actions &actions, absl::Time now)
{
    m_excluded.insert(m_target);
    release(exchange_end::FailedAnswer, actions, now);
    const attempt_history next = withFailure(m_history, attempt_failure::Failed);
    m_longestAttempt = std::max(m_longestAttempt, now - m_sentAt);
    const bool willRetry = mayRetry(*m_admitted->matchedRoute, next) && canEndBeforeShutdown(now)
        && m_node.trySpendRetry(m_admitted->service, now);
    m_history = next;
    actions.emplace_back(
        record_attempt_failed {.target = m_target,
                               .failure = attempt_failure::Failed,
                               .reason = "status " + std::to_string(m_answer.status)});
    if (willRetry)
        place(actions, now);
    else
        relayCompleteAnswer(actions, now);
}

void request_lifecycle::relayCompleteAnswer(request_actions &actions, absl::Time now)
{
    if (m_isHeadRelayed || impliesNotExecuted(m_answer.status)) {
        if (m_history.isNotExecuted())
            m_history = withFailure(m_history, attempt_failure::Failed);
        fail(false, actions, now);
        return;
    }
    finish({.outcome = "answered", .status = m_answer.status}, actions);
    actions.emplace_back(relay_answer {.body = std::exchange(m_answerBody, {})});
}

} // namespace quetzal
