#include "apps/edge/request_run.h"

#include "apps/edge/caller_connection.h"
#include "apps/edge/edge_clock.h"
#include "platform/request_dialect.h"

#include <utility>
#include <variant>

namespace quetzal {

using boost::system::error_code;

namespace {

/** Bytes that a slow caller may leave unread before the target is made to wait. */
constexpr std::size_t mostPendingBytes = 65536;
/** Requests that may not be repeated use only connections that were idle for less. */
constexpr absl::Duration freshIdle = absl::Milliseconds(2500);
constexpr absl::Duration anyIdle = absl::Seconds(60);
constexpr int statusBadRequest = 400;

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
{
}

void request_run::start()
{
    auto description = platform::describeRequest(m_head);
    if (!description) {
        const rejection reason {.status = statusBadRequest, .code = result_code::HeaderInvalid};
        carryOut(record_request_ended {
            .outcome = "rejected", .status = reason.status, .code = reason.code});
        carryOut(answer_locally {.reason = reason});
        return;
    }
    const absl::Time now = edgeNow();
    m_log.setRequestId(description->id);
    m_life.emplace(m_context.node, m_context.nextRequest++, *std::move(description), m_arrivedAt);
    const request_actions actions = m_life->start(m_context.isClosed, now);
    if (m_life->admitted() && !m_life->isFinished())
        armTimer(now);
    perform(actions);
}

void request_run::armTimer(absl::Time now)
{
    m_timer.expires_after(absl::ToChronoNanoseconds(m_life->deadline() - now));
    const std::weak_ptr<request_run> weak = weak_from_this();
    m_timer.async_wait([weak](const error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->perform(self->m_life->onDeadline(edgeNow()));
    });
}

void request_run::onCallerGone()
{
    if (m_life)
        perform(m_life->onCallerGone(edgeNow()));
}

void request_run::perform(const request_actions &actions)
{
    for (const request_action &action : actions)
        std::visit([this](const auto &what) { carryOut(what); }, action);
}

void request_run::carryOut(const send_request &action)
{
    const absl::Time now = edgeNow();
    m_answerHead = {};
    m_log.sent(*m_life->admitted(), action.destination, now);
    m_connection = m_context.pool.take({.target = action.destination.target,
                                        .address = action.destination.address,
                                        .maxConnections = action.destination.maxConnections,
                                        .mostIdle = action.isRepeatable ? anyIdle : freshIdle},
                                       now);
    if (!m_connection) {
        perform(m_life->onNoConnection(now));
        return;
    }
    m_connection->start(requestBytes(action), m_head.method == "HEAD", callbacks());
}

std::string request_run::requestBytes(const send_request &action) const
{
    const request_head head = platform::toTarget(m_head,
                                                 {.target = action.destination.target,
                                                  .workspace = m_life->admitted()->workspace,
                                                  .timeLeft = action.timeLeft,
                                                  .lastEventId = action.lastEventId});
    const bool hasBody = !m_body.empty() || m_head.fields.find("Content-Length") != nullptr
        || m_head.fields.find("Transfer-Encoding") != nullptr;
    return toBytes(head, hasBody ? std::optional(m_body.size()) : std::nullopt) + m_body;
}

exchange_callbacks request_run::callbacks()
{
    const std::weak_ptr<request_run> weak = weak_from_this();
    return {.onHead =
                [weak](const response_head &answer) {
                    const auto self = weak.lock();
                    return self ? self->onHead(answer) : answer_disposition::Abandon;
                },
            .onBody =
                [weak](const std::string &text) {
                    if (const auto self = weak.lock())
                        self->perform(self->m_life->onAnswerBody(text, edgeNow()));
                },
            .onComplete =
                [weak] {
                    if (const auto self = weak.lock())
                        self->perform(self->m_life->onAnswerComplete(edgeNow()));
                },
            .onFailed =
                [weak](const exchange_failure &failure) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    self->m_connection.reset();
                    self->perform(self->m_life->onSendFailed(failure, edgeNow()));
                }};
}

answer_disposition request_run::onHead(const response_head &head)
{
    const answer_description answer = platform::describeAnswer(head);
    const head_decision decision = m_life->onAnswerHead(answer, edgeNow());
    if (decision.disposition == answer_disposition::Skip)
        m_log.answerMismatched(m_life->target(), answer.requestId, head.status);
    if (decision.disposition != answer_disposition::Accept)
        return decision.disposition;
    if (answer.idleTimeout)
        m_connection->setIdleTimeout(*answer.idleTimeout);
    m_answerHead = head;
    perform(decision.actions);
    return decision.disposition;
}

void request_run::carryOut(const release_target &action)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    if (action.isCancelled)
        connection->cancel();
    else
        m_context.pool.giveBack(action.target, connection, edgeNow());
}

void request_run::carryOut(const begin_stream &)
{
    const auto caller = m_caller.lock();
    if (!caller)
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

void request_run::carryOut(const relay_body &action)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    caller->send(toChunk(action.text));
    if (m_connection && caller->pendingBytes() > mostPendingBytes)
        m_connection->setPaused(true);
}

void request_run::carryOut(const end_stream &)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    const bool close = !caller->mayStayOpen();
    caller->send(std::string(lastChunk));
    caller->finishAnswer(close);
}

void request_run::carryOut(const relay_answer &action)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    const bool close = !caller->mayStayOpen();
    caller->send(
        toBytes(platform::toCaller(m_answerHead), {.length = action.body.size(), .close = close})
        + action.body);
    caller->finishAnswer(close);
}

void request_run::carryOut(const answer_locally &action)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    const bool close = action.isNotExecuted || !caller->mayStayOpen();
    const std::string text = platform::ownBody(action.reason);
    const std::string requestId = m_life ? m_life->description().id : std::string();
    caller->send(toBytes(platform::ownAnswer(action.reason, requestId),
                         {.length = text.size(), .close = close})
                 + text);
    caller->finishAnswer(close);
}

void request_run::carryOut(const abort_answer &)
{
    if (const auto caller = m_caller.lock())
        caller->abort();
}

void request_run::carryOut(const record_answer_began &)
{
    m_log.answerBegan(m_life->admitted()->matchedRoute->kind, edgeNow());
}

void request_run::carryOut(const record_attempt_failed &action)
{
    m_log.attemptFailed(action, edgeNow());
}

void request_run::carryOut(const record_request_ended &action)
{
    const absl::Time now = edgeNow();
    m_timer.cancel();
    if (action.overload)
        m_log.overloaded(*m_life->admitted(), *action.overload, now);
    m_log.ended(action, now);
}

} // namespace quetzal
