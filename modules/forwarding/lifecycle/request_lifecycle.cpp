#include "forwarding/lifecycle/request_lifecycle.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quetzal {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
/** Short, because another router can answer at once. */
constexpr absl::Duration retryAfterStopping = absl::Milliseconds(50);
constexpr absl::Duration defaultRetryAfter = absl::Milliseconds(300);

exchange_end endOf(const exchange_failure &cause)
{
    if (!cause.isSent)
        return exchange_end::NotSent;
    return cause.isTargetAlive ? exchange_end::Unusable : exchange_end::Lost;
}

} // namespace

request_lifecycle::request_lifecycle(forwarding_node &node, std::uint64_t number,
                                     request_description description, absl::Time arrivedAt)
    : m_node(node)
    , m_number(number)
    , m_description(std::move(description))
    , m_arrivedAt(arrivedAt)
    , m_heldBytes(node.answerMemory())
{
}

request_actions request_lifecycle::start(absl::Time now)
{
    request_actions actions;
    if (m_node.shutdown() && !m_node.shutdown()->isAccepting(now)) {
        rejectForShutdown(actions, now);
        return actions;
    }
    auto admission = m_node.admit(m_description, m_arrivedAt);
    if (const auto *reason = std::get_if<rejection>(&admission)) {
        reject(*reason, actions, now);
        return actions;
    }
    m_admitted = std::get<admitted_request>(std::move(admission));
    if (!canEndBeforeShutdown(now)) {
        rejectForShutdown(actions, now);
        return actions;
    }
    m_node.onAdmitted(*m_admitted, now);
    if (const auto reason = m_node.rejectIfOverloaded())
        reject(*reason, actions, now);
    else
        place(actions, now);
    return actions;
}

void request_lifecycle::place(request_actions &actions, absl::Time now)
{
    if (now >= m_admitted->deadline) {
        fail(true, actions, now);
        return;
    }
    auto decision = m_node.place(m_number, *m_admitted, m_description, m_excluded, now);
    const auto *reason = std::get_if<rejection>(&decision);
    if (reason == nullptr)
        send(std::get<placement>(decision), actions, now);
    else if (m_history.isNotExecuted())
        reject(*reason, actions, now);
    else
        fail(false, actions, now);
}

void request_lifecycle::send(const placement &destination, request_actions &actions, absl::Time now)
{
    m_target = destination.target;
    m_isSent = true;
    m_sentAt = now;
    m_answerBegan = false;
    m_isPromptSound = false;
    m_relay = relay::None;
    m_answerBody.clear();
    m_heldBytes.set(0);
    m_eventBoundary = {};
    absl::Time deadline = m_admitted->deadline;
    if (m_node.shutdown())
        deadline = std::min(deadline, m_node.shutdown()->answersDueAt());
    actions.emplace_back(send_request {.destination = destination,
                                       .timeLeft = deadline - now,
                                       .lastEventId = m_events.lastId(),
                                       .isRepeatable = m_admitted->matchedRoute->isRepeatable()});
}

request_actions request_lifecycle::onNoConnection(absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    m_isSent = false;
    m_excluded.insert(m_target);
    m_node.onEnded(m_number, m_target, exchange_end::Cancelled, now);
    retryOrFail(attempt_failure::NotSent, "no_connection", actions, now);
    return actions;
}

request_actions request_lifecycle::onSendFailed(const exchange_failure &cause, absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    m_isSent = false;
    m_excluded.insert(m_target);
    const attempt_failure failure
        = cause.isSent ? attempt_failure::AnswerLost : attempt_failure::NotSent;
    m_node.onEnded(m_number, m_target, endOf(cause), now);
    if (m_relay == relay::Streaming && !mayResume()) {
        m_history = withFailure(m_history, failure);
        actions.emplace_back(record_attempt_failed {
            .target = m_target, .failure = failure, .reason = std::string(cause.reason)});
        abort("stream_broken", actions);
        return actions;
    }
    m_events.takePartialEvent();
    retryOrFail(failure, cause.reason, actions, now);
    return actions;
}

bool request_lifecycle::mayResume() const
{
    return m_admitted->matchedRoute->isResumable && !m_events.lastId().empty();
}

void request_lifecycle::retryOrFail(attempt_failure failure, std::string_view reason,
                                    request_actions &actions, absl::Time now)
{
    m_history = withFailure(m_history, failure);
    if (failure == attempt_failure::AnswerLost)
        m_longestAttempt = std::max(m_longestAttempt, now - m_sentAt);
    actions.emplace_back(record_attempt_failed {
        .target = m_target, .failure = failure, .reason = std::string(reason)});
    if (!canEndBeforeShutdown(now) && m_history.isNotExecuted()) {
        rejectForShutdown(actions, now);
        return;
    }
    const bool mayPlace = now < m_admitted->deadline
        && mayRetry(*m_admitted->matchedRoute, m_history) && canEndBeforeShutdown(now)
        && !(failure == attempt_failure::AnswerLost && m_node.mayEndTargets(m_description))
        && (!consumesRetryBudget(m_history) || m_node.trySpendRetry(m_admitted->service, now));
    if (mayPlace)
        place(actions, now);
    else
        fail(false, actions, now);
}

bool request_lifecycle::canEndBeforeShutdown(absl::Time now) const
{
    if (!m_node.shutdown())
        return true;
    const absl::Time dueAt = m_node.shutdown()->answersDueAt();
    return now < dueAt && std::min(m_admitted->deadline, now + expectedTime()) <= dueAt;
}

absl::Duration request_lifecycle::expectedTime() const
{
    return std::max(m_longestAttempt, m_node.expectedAnswerTime(*m_admitted, m_description));
}

void request_lifecycle::release(exchange_end end, request_actions &actions, absl::Time now)
{
    m_isSent = false;
    m_node.onEnded(m_number, m_target, end, now);
    actions.emplace_back(
        release_target {.target = m_target, .isCancelled = end == exchange_end::Cancelled});
}

void request_lifecycle::fail(bool timedOut, request_actions &actions, absl::Time now)
{
    rejection reason {.status = finalStatus(m_history, timedOut),
                      .code = result_code::OutcomeUnknown};
    if (m_history.isNotExecuted()) {
        reason.code = result_code::TargetRefused;
        reason.retryAfter = defaultRetryAfter;
    } else if (timedOut) {
        reason.code = result_code::DeadlineDuringAnswer;
    }
    reject(reason, actions, now);
}

void request_lifecycle::rejectForShutdown(request_actions &actions, absl::Time now)
{
    reject({.status = statusUnavailable,
            .code = result_code::RouterStopping,
            .retryAfter = retryAfterStopping},
           actions, now);
}

void request_lifecycle::reject(const rejection &reason, request_actions &actions, absl::Time now)
{
    if (m_isHeadRelayed) {
        abort("stream_broken", actions);
        return;
    }
    const bool isNotExecuted = m_history.isNotExecuted();
    if (isNotExecuted && !m_target.empty())
        m_node.onNotServed(*m_admitted, m_description, now);
    finish({.outcome = isNotExecuted ? "rejected" : "failed",
            .status = reason.status,
            .code = reason.code,
            .overload = reason.overload,
            .heldPart = reason.heldPart},
           actions);
    actions.emplace_back(answer_locally {.reason = reason, .isNotExecuted = isNotExecuted});
}

void request_lifecycle::abort(std::string_view outcome, request_actions &actions)
{
    finish({.outcome = outcome, .status = statusBadGateway, .code = result_code::AnswerTruncated},
           actions);
    actions.emplace_back(abort_answer {});
}

request_actions request_lifecycle::onDeadline(absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    cancelAttempt(actions, now);
    if (m_isHeadRelayed)
        abort("timed_out", actions);
    else
        fail(true, actions, now);
    return actions;
}

request_actions request_lifecycle::onShutdownDue(absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    cancelAttempt(actions, now);
    if (m_isHeadRelayed)
        abort("router_stopped", actions);
    else if (m_history.isNotExecuted())
        rejectForShutdown(actions, now);
    else
        fail(false, actions, now);
    return actions;
}

void request_lifecycle::cancelAttempt(request_actions &actions, absl::Time now)
{
    if (!m_isSent)
        return;
    m_history = withFailure(m_history, attempt_failure::AnswerLost);
    release(exchange_end::Cancelled, actions, now);
}

request_actions request_lifecycle::onCallerDisconnected(absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    if (m_isSent)
        release(exchange_end::Cancelled, actions, now);
    finish({.outcome = "caller_gone", .code = result_code::CallerGone}, actions);
    return actions;
}

void request_lifecycle::finish(record_request_ended end, request_actions &actions)
{
    m_isFinished = true;
    m_heldBytes.set(0);
    end.target = m_target;
    end.mayHaveRun = m_history.mayHaveRun;
    actions.emplace_back(std::move(end));
}

} // namespace quetzal
