#include "forwarding/life/request_life.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quetzal {

namespace {

/** Longer bodies are passed on before they are whole. */
constexpr std::size_t mostWholeBytes = std::size_t {1024} * 1024;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
/** Another router answers at once. */
constexpr absl::Duration retryAfterStopping = absl::Milliseconds(50);
constexpr absl::Duration usualRetryAfter = absl::Milliseconds(300);

/** Statuses that promise the caller that its request did not run. */
bool promisesUnrun(int status)
{
    constexpr int promising[] = {408, 421, 429, 503};
    return std::find(std::begin(promising), std::end(promising), status) != std::end(promising);
}

exchange_end endOf(const exchange_failure &cause)
{
    if (!cause.isSent)
        return exchange_end::NotSent;
    return cause.isTargetAlive ? exchange_end::Unusable : exchange_end::Lost;
}

} // namespace

request_life::request_life(forwarding_node &node, std::uint64_t number,
                           request_description description, absl::Time arrivedAt)
    : m_node(node)
    , m_number(number)
    , m_description(std::move(description))
    , m_arrivedAt(arrivedAt)
{
}

request_actions request_life::start(bool isStopping, absl::Time now)
{
    request_actions actions;
    if (isStopping) {
        reject({.status = statusUnavailable,
                .code = result_code::RouterStopping,
                .retryAfter = retryAfterStopping},
               actions);
        return actions;
    }
    auto admission = m_node.admit(m_description, m_arrivedAt);
    if (const auto *reason = std::get_if<rejection>(&admission)) {
        reject(*reason, actions);
        return actions;
    }
    m_admitted = std::get<admitted_request>(std::move(admission));
    m_node.onAdmitted(*m_admitted, m_description, now);
    place(actions, now);
    return actions;
}

void request_life::place(request_actions &actions, absl::Time now)
{
    if (now >= m_admitted->dueAt) {
        fail(true, actions);
        return;
    }
    auto decision = m_node.place(m_number, *m_admitted, m_description, m_excluded, now);
    const auto *reason = std::get_if<rejection>(&decision);
    if (reason == nullptr)
        send(std::get<placement>(decision), actions, now);
    else if (m_history.isUnrun())
        reject(*reason, actions);
    else
        fail(false, actions);
}

void request_life::send(const placement &where, request_actions &actions, absl::Time now)
{
    m_target = where.target;
    m_isSent = true;
    m_answerBegan = false;
    m_relay = relay::None;
    m_answerBody.clear();
    actions.emplace_back(send_request {.where = where,
                                       .timeLeft = m_admitted->dueAt - now,
                                       .lastEventId = m_events.lastId(),
                                       .isRepeatable = m_admitted->rule->isRepeatable()});
}

request_actions request_life::onNoConnection(absl::Time now)
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

request_actions request_life::onSendFailed(const exchange_failure &cause, absl::Time now)
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
        m_history = after(m_history, failure);
        actions.emplace_back(note_attempt_failed {
            .target = m_target, .failure = failure, .reason = std::string(cause.reason)});
        abort("stream_broken", actions);
        return actions;
    }
    m_events.takePartialEvent();
    retryOrFail(failure, cause.reason, actions, now);
    return actions;
}

bool request_life::mayResume() const
{
    return m_admitted->rule->isResumable && !m_events.lastId().empty();
}

void request_life::retryOrFail(attempt_failure failure, std::string_view reason,
                               request_actions &actions, absl::Time now)
{
    m_history = after(m_history, failure);
    actions.emplace_back(note_attempt_failed {
        .target = m_target, .failure = failure, .reason = std::string(reason)});
    const bool mayPlace = now < m_admitted->dueAt && mayTryAgain(*m_admitted->rule, m_history)
        && (!needsBudget(m_history) || m_node.trySpendRepeat(m_admitted->service, now));
    if (mayPlace)
        place(actions, now);
    else
        fail(false, actions);
}

head_decision request_life::onAnswerHead(const answer_description &answer, absl::Time now)
{
    if (m_isFinished || !m_isSent)
        return {.use = answer_use::Abandon};
    m_answer = answer;
    if (answer.running)
        m_node.onReport(m_target,
                        {.running = *answer.running,
                         .waiting = answer.waiting,
                         .slots = answer.slots,
                         .at = now});
    const bool isOurs = answer.requestId == m_description.id;
    if (!isOurs && !(answer.requestId.empty() && answer.isUnrun))
        return {.use = answer_use::Skip};
    if (answer.isSuccess() && (!answer.isSigned || answer.isEncoded))
        return {.use = answer_use::Abandon};
    head_decision decision {.use = answer_use::Accept};
    const bool isStream = answer.isSuccess() && m_admitted->rule->kind == request_kind::Stream;
    m_relay = isStream ? relay::StreamPending : relay::Whole;
    if (!isStream && !answer.isUnrun)
        answerBegan(decision.actions, now);
    return decision;
}

void request_life::answerBegan(request_actions &actions, absl::Time now)
{
    m_answerBegan = true;
    m_node.onAnswerBegan(m_number, m_target, now);
    actions.emplace_back(note_answer_began {});
}

request_actions request_life::onAnswerBody(std::string_view text, absl::Time now)
{
    request_actions actions;
    if (m_isFinished || !m_isSent)
        return actions;
    if (m_relay == relay::Whole) {
        m_answerBody += text;
        if (m_answer.isSuccess() && m_answerBody.size() > mostWholeBytes) {
            beginStream(actions);
            actions.emplace_back(pass_on {.text = std::exchange(m_answerBody, {})});
        }
        return actions;
    }
    if (!m_answerBegan)
        answerBegan(actions, now);
    std::string whole = m_admitted->rule->isResumable ? m_events.add(text) : std::string(text);
    if (whole.empty())
        return actions;
    if (m_relay == relay::StreamPending)
        beginStream(actions);
    actions.emplace_back(pass_on {.text = std::move(whole)});
    return actions;
}

void request_life::beginStream(request_actions &actions)
{
    m_relay = relay::Streaming;
    if (!std::exchange(m_headPassed, true))
        actions.emplace_back(begin_stream {});
}

request_actions request_life::onAnswerComplete(absl::Time now)
{
    request_actions actions;
    if (m_isFinished || !m_isSent)
        return actions;
    if (m_answer.isUnrun) {
        m_excluded.insert(m_target);
        if (m_answer.isFromOtherTarget)
            m_node.directory().markReplaced(m_target);
        release(exchange_end::RefusedUnrun, actions, now);
        retryOrFail(attempt_failure::RefusedUnrun, "status " + std::to_string(m_answer.status),
                    actions, now);
        return actions;
    }
    if (m_relay == relay::Whole && m_answer.status >= statusServerError) {
        completeFailure(actions, now);
        return actions;
    }
    release(exchange_end::Answered, actions, now);
    if (m_relay == relay::StreamPending)
        beginStream(actions);
    if (m_relay != relay::Streaming) {
        relayWhole(actions);
        return actions;
    }
    if (std::string rest = m_events.takePartialEvent(); !rest.empty())
        actions.emplace_back(pass_on {.text = std::move(rest)});
    finish({.outcome = "answered", .status = m_answer.status}, actions);
    actions.emplace_back(end_stream {});
    return actions;
}

void request_life::completeFailure(request_actions &actions, absl::Time now)
{
    m_excluded.insert(m_target);
    release(exchange_end::FailedAnswer, actions, now);
    const attempt_history next = after(m_history, attempt_failure::Failed);
    const bool isWorthIt
        = mayTryAgain(*m_admitted->rule, next) && m_node.trySpendRepeat(m_admitted->service, now);
    m_history = next;
    actions.emplace_back(
        note_attempt_failed {.target = m_target,
                             .failure = attempt_failure::Failed,
                             .reason = "status " + std::to_string(m_answer.status)});
    if (isWorthIt)
        place(actions, now);
    else
        relayWhole(actions);
}

void request_life::relayWhole(request_actions &actions)
{
    if (m_headPassed || promisesUnrun(m_answer.status)) {
        fail(false, actions);
        return;
    }
    finish({.outcome = "answered", .status = m_answer.status}, actions);
    actions.emplace_back(relay_answer {.body = std::exchange(m_answerBody, {})});
}

void request_life::release(exchange_end end, request_actions &actions, absl::Time now)
{
    m_isSent = false;
    m_node.onEnded(m_number, m_target, end, now);
    actions.emplace_back(
        release_target {.target = m_target, .isCancelled = end == exchange_end::Cancelled});
}

void request_life::fail(bool timedOut, request_actions &actions)
{
    rejection reason {.status = finalStatus(m_history, timedOut),
                      .code = result_code::OutcomeUnknown};
    if (m_history.isUnrun()) {
        reason.code = result_code::TargetRefused;
        reason.retryAfter = usualRetryAfter;
    } else if (timedOut) {
        reason.code = result_code::DeadlineDuringAnswer;
    }
    reject(reason, actions);
}

void request_life::reject(const rejection &reason, request_actions &actions)
{
    if (m_headPassed) {
        abort("stream_broken", actions);
        return;
    }
    const bool isUnrun = m_history.isUnrun();
    finish({.outcome = isUnrun ? "rejected" : "failed",
            .status = reason.status,
            .code = reason.code,
            .overload = reason.overload},
           actions);
    actions.emplace_back(answer_self {.reason = reason, .isUnrun = isUnrun});
}

void request_life::abort(std::string_view outcome, request_actions &actions)
{
    finish({.outcome = outcome, .status = statusBadGateway, .code = result_code::AnswerTruncated},
           actions);
    actions.emplace_back(abort_answer {});
}

request_actions request_life::onDue(absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    if (m_isSent) {
        m_history = after(m_history, attempt_failure::AnswerLost);
        release(exchange_end::Cancelled, actions, now);
    }
    if (m_headPassed)
        abort("timed_out", actions);
    else
        fail(true, actions);
    return actions;
}

request_actions request_life::onCallerGone(absl::Time now)
{
    request_actions actions;
    if (m_isFinished)
        return actions;
    if (m_isSent)
        release(exchange_end::Cancelled, actions, now);
    finish({.outcome = "caller_gone", .code = result_code::CallerGone}, actions);
    return actions;
}

void request_life::finish(note_ended end, request_actions &actions)
{
    m_isFinished = true;
    end.target = m_target;
    end.mayHaveRun = m_history.mayHaveRun;
    actions.emplace_back(std::move(end));
}

} // namespace quetzal
