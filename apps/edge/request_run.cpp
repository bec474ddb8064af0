#include "apps/edge/request_run.h"

#include "apps/edge/caller_connection.h"
#include "apps/edge/edge_clock.h"
#include "platform/request_dialect.h"

#include <algorithm>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

/** Bytes that a slow caller may leave unread before the target is made to wait. */
constexpr std::size_t mostPendingBytes = 65536;
/** Requests that may not be repeated use only connections that were idle for less. */
constexpr absl::Duration freshIdle = absl::Milliseconds(2500);
constexpr absl::Duration anyIdle = absl::Seconds(60);
/** Longer bodies are passed on before they are whole. */
constexpr std::size_t mostWholeBytes = std::size_t {1024} * 1024;
constexpr int statusBadRequest = 400;
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

} // namespace

request_run::request_run(edge_context &context, std::weak_ptr<caller_connection> caller,
                         request_head head, std::string body, absl::Time arrivedAt)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_log(context, arrivedAt)
    , m_timer(context.loop)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_arrivedAt(arrivedAt)
    , m_number(context.nextRequest++)
{
}

void request_run::start()
{
    const auto description = platform::describeRequest(m_head);
    if (!description) {
        reject({.status = statusBadRequest, .code = result_code::HeaderInvalid});
        return;
    }
    m_description = *description;
    m_log.setRequestId(m_description.id);
    if (m_context.isClosed) {
        reject({.status = statusUnavailable,
                .code = result_code::RouterStopping,
                .retryAfter = retryAfterStopping});
        return;
    }
    const absl::Time now = edgeNow();
    auto admission = m_context.node.admit(m_description, m_arrivedAt);
    if (const auto *reason = std::get_if<rejection>(&admission)) {
        reject(*reason);
        return;
    }
    m_admitted = std::get<admitted_request>(std::move(admission));
    m_context.node.onAdmitted(*m_admitted, m_description, now);
    m_timer.expires_after(absl::ToChronoNanoseconds(m_admitted->dueAt - now));
    const std::weak_ptr<request_run> weak = weak_from_this();
    m_timer.async_wait([weak](const error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->onDue();
    });
    place();
}

void request_run::place()
{
    const absl::Time now = edgeNow();
    if (now >= m_admitted->dueAt) {
        fail(true);
        return;
    }
    auto decision = m_context.node.place(m_number, *m_admitted, m_description, m_excluded, now);
    if (const auto *reason = std::get_if<rejection>(&decision)) {
        if (m_history.isUnrun())
            reject(*reason);
        else
            fail(false);
        return;
    }
    send(std::get<placement>(decision));
}

void request_run::send(const placement &where)
{
    const absl::Time now = edgeNow();
    const route &rule = *m_admitted->rule;
    m_target = where.target;
    m_sentAt = now;
    m_answerBegan = false;
    m_relay = relay::None;
    m_answerBody.clear();
    m_answerHead = {};
    m_log.sent(*m_admitted, where, now);
    m_connection = m_context.pool.take({.target = where.target,
                                        .address = where.address,
                                        .mostConnections = where.mostConnections,
                                        .mostIdle = rule.isRepeatable() ? anyIdle : freshIdle},
                                       now);
    if (!m_connection) {
        m_excluded.insert(where.target);
        retryOrFail(attempt_failure::NotSent);
        return;
    }
    const request_head head = platform::toTarget(m_head,
                                                 {.target = where.target,
                                                  .workspace = m_admitted->workspace,
                                                  .timeLeft = m_admitted->dueAt - now,
                                                  .lastEventId = m_events.lastId()});
    const bool hasBody = !m_body.empty() || m_head.fields.find("Content-Length") != nullptr
        || m_head.fields.find("Transfer-Encoding") != nullptr;
    std::string bytes = toBytes(head, hasBody ? std::optional(m_body.size()) : std::nullopt);
    bytes += m_body;
    const std::weak_ptr<request_run> weak = weak_from_this();
    m_connection->start(std::move(bytes), m_head.method == "HEAD",
                        {.onHead =
                             [weak](const response_head &answer) {
                                 const auto self = weak.lock();
                                 return self ? self->onHead(answer) : answer_use::Abandon;
                             },
                         .onBody =
                             [weak](const std::string &text) {
                                 if (const auto self = weak.lock())
                                     self->onBody(text);
                             },
                         .onComplete =
                             [weak] {
                                 if (const auto self = weak.lock())
                                     self->onComplete();
                             },
                         .onFailed =
                             [weak](const exchange_failure &failure) {
                                 if (const auto self = weak.lock())
                                     self->onFailed(failure);
                             }});
}

answer_use request_run::onHead(const response_head &head)
{
    m_answer = platform::describeAnswer(head);
    if (m_answer.running)
        m_context.node.onReport(m_target,
                                {.running = *m_answer.running,
                                 .waiting = m_answer.waiting,
                                 .slots = m_answer.slots,
                                 .at = edgeNow()});
    const bool isOurs = m_answer.requestId == m_description.id;
    if (!isOurs && !(m_answer.requestId.empty() && m_answer.isUnrun)) {
        m_log.answerMismatched(m_target, m_answer.requestId, head.status);
        return answer_use::Skip;
    }
    if (m_answer.idleTimeout)
        m_connection->setIdleTimeout(*m_answer.idleTimeout);
    if (m_answer.isSuccess() && (!m_answer.isSigned || m_answer.isEncoded))
        return answer_use::Abandon;
    m_answerHead = head;
    const bool isStream = m_answer.isSuccess() && m_admitted->rule->kind == request_kind::Stream;
    m_relay = isStream ? relay::StreamPending : relay::Whole;
    if (!isStream && !m_answer.isUnrun) {
        onAnswerBegan();
    }
    return answer_use::Accept;
}

void request_run::onAnswerBegan()
{
    m_answerBegan = true;
    m_context.node.onAnswerBegan(m_number, m_target, edgeNow());
    m_log.answerBegan(m_admitted->rule->kind, edgeNow());
}

void request_run::onBody(const std::string &text)
{
    if (m_relay == relay::Whole) {
        m_answerBody += text;
        if (m_answer.isSuccess() && m_answerBody.size() > mostWholeBytes) {
            m_relay = relay::StreamPending;
            startStream();
            passOn(std::exchange(m_answerBody, {}));
        }
        return;
    }
    if (!m_answerBegan)
        onAnswerBegan();
    const std::string whole = m_admitted->rule->isResumable ? m_events.add(text) : text;
    if (whole.empty())
        return;
    if (m_relay == relay::StreamPending)
        startStream();
    passOn(whole);
}

void request_run::passOn(const std::string &text)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    caller->send(toChunk(text));
    if (m_connection && caller->pendingBytes() > mostPendingBytes)
        m_connection->setPaused(true);
}

void request_run::startStream()
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    m_relay = relay::Streaming;
    if (std::exchange(m_headPassed, true))
        return;
    caller->send(toBytes(platform::toCaller(m_answerHead),
                         {.framing = body_framing::Chunked, .close = !caller->mayStayOpen()}));
    const std::weak_ptr<request_run> weak = weak_from_this();
    caller->setOnDrained([weak] {
        const auto self = weak.lock();
        if (self && self->m_connection)
            self->m_connection->setPaused(false);
    });
}

void request_run::onComplete()
{
    const bool mayRepeatFailure
        = m_answer.status >= statusServerError && !m_answer.isUnrun && m_relay == relay::Whole;
    if (m_answer.isUnrun) {
        m_excluded.insert(m_target);
        if (m_answer.isFromOtherTarget)
            m_context.node.directory().markReplaced(m_target);
        releaseTarget(exchange_end::RefusedUnrun);
        retryOrFail(attempt_failure::RefusedUnrun);
        return;
    }
    if (mayRepeatFailure) {
        m_excluded.insert(m_target);
        releaseTarget(exchange_end::FailedAnswer);
        const attempt_history next = after(m_history, attempt_failure::Failed);
        const bool isWorthIt = mayTryAgain(*m_admitted->rule, next)
            && m_context.node.trySpendRepeat(m_admitted->service, edgeNow());
        m_history = next;
        m_log.attemptFailed(m_target, attempt_failure::Failed,
                            "status " + std::to_string(m_answer.status), edgeNow());
        if (isWorthIt) {
            place();
            return;
        }
        relayWhole();
        return;
    }
    releaseTarget(exchange_end::Answered);
    if (m_relay == relay::StreamPending)
        startStream();
    if (m_relay == relay::Streaming) {
        const auto caller = m_caller.lock();
        passOn(m_events.takeRest());
        logEnd("answered", m_answerHead.status, result_code::Ok);
        finish();
        if (caller) {
            const bool close = !caller->mayStayOpen();
            caller->send(std::string(lastChunk));
            caller->finishAnswer(close);
        }
        return;
    }
    relayWhole();
}

void request_run::relayWhole()
{
    if (m_headPassed || promisesUnrun(m_answerHead.status)) {
        fail(false);
        return;
    }
    const auto caller = m_caller.lock();
    logEnd("answered", m_answerHead.status, result_code::Ok);
    finish();
    if (!caller)
        return;
    const bool close = !caller->mayStayOpen();
    caller->send(
        toBytes(platform::toCaller(m_answerHead), {.length = m_answerBody.size(), .close = close})
        + m_answerBody);
    caller->finishAnswer(close);
}

void request_run::onFailed(const exchange_failure &cause)
{
    m_excluded.insert(m_target);
    m_connection.reset();
    m_failureReason = cause.reason;
    const attempt_failure failure
        = cause.isSent ? attempt_failure::AnswerLost : attempt_failure::NotSent;
    m_context.node.onEnded(m_number, m_target,
                           cause.isSent ? exchange_end::Lost : exchange_end::NotSent, edgeNow());
    if (m_relay == relay::Streaming && !mayResume()) {
        m_log.attemptFailed(m_target, failure, std::exchange(m_failureReason, {}), edgeNow());
        m_history = after(m_history, failure);
        abortAnswer("stream_broken");
        return;
    }
    m_events.takeRest();
    retryOrFail(failure);
}

bool request_run::mayResume() const
{
    return m_admitted->rule->isResumable && !m_events.lastId().empty();
}

void request_run::releaseTarget(exchange_end end)
{
    const absl::Time now = edgeNow();
    m_context.node.onEnded(m_number, m_target, end, now);
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    if (end == exchange_end::Cancelled)
        connection->cancel();
    else
        m_context.pool.giveBack(m_target, connection, now);
}

void request_run::retryOrFail(attempt_failure failure)
{
    if (!m_connection && failure == attempt_failure::NotSent)
        m_context.node.onEnded(m_number, m_target, exchange_end::Cancelled, edgeNow());
    m_history = after(m_history, failure);
    m_log.attemptFailed(m_target, failure, std::exchange(m_failureReason, {}), edgeNow());
    const absl::Time now = edgeNow();
    const bool mayPlace = now < m_admitted->dueAt && mayTryAgain(*m_admitted->rule, m_history)
        && (!needsBudget(m_history) || m_context.node.trySpendRepeat(m_admitted->service, now));
    if (mayPlace)
        place();
    else
        fail(false);
}

void request_run::fail(bool timedOut)
{
    const int status = finalStatus(m_history, timedOut);
    rejection reason {.status = status, .code = result_code::OutcomeUnknown};
    if (m_history.isUnrun()) {
        reason.code = result_code::TargetRefused;
        reason.retryAfter = usualRetryAfter;
    } else if (timedOut) {
        reason.code = result_code::DeadlineDuringAnswer;
    }
    reject(reason);
}

void request_run::reject(const rejection &reason)
{
    if (m_headPassed) {
        abortAnswer("stream_broken");
        return;
    }
    const auto caller = m_caller.lock();
    if (reason.overload)
        m_log.overloaded(*m_admitted, *reason.overload, edgeNow());
    logEnd(m_history.isUnrun() ? "rejected" : "failed", reason.status, reason.code);
    finish();
    if (!caller)
        return;
    const bool isRejection = m_history.isUnrun();
    const bool close = isRejection || !caller->mayStayOpen();
    const std::string text = platform::ownBody(reason);
    caller->send(toBytes(platform::ownAnswer(reason, m_description.id),
                         {.length = text.size(), .close = close})
                 + text);
    caller->finishAnswer(close);
}

void request_run::onDue()
{
    if (m_isFinished)
        return;
    const bool wasSent = m_connection != nullptr;
    if (wasSent) {
        m_history = after(m_history, attempt_failure::AnswerLost);
        releaseTarget(exchange_end::Cancelled);
    }
    if (m_headPassed)
        abortAnswer("timed_out");
    else
        fail(true);
}

void request_run::onCallerGone()
{
    if (m_isFinished)
        return;
    if (m_connection)
        releaseTarget(exchange_end::Cancelled);
    logEnd("caller_gone", 0, result_code::CallerGone);
    finish();
}

void request_run::abortAnswer(std::string_view reason)
{
    const auto caller = m_caller.lock();
    logEnd(reason, statusBadGateway, result_code::AnswerTruncated);
    finish();
    if (caller)
        caller->abort();
}

void request_run::finish()
{
    m_isFinished = true;
    m_timer.cancel();
}

void request_run::logEnd(std::string_view outcome, int status, result_code code)
{
    m_log.ended({.outcome = outcome,
                 .status = status,
                 .code = code,
                 .target = m_target,
                 .mayHaveRun = m_history.mayHaveRun},
                edgeNow());
}

} // namespace quetzal
