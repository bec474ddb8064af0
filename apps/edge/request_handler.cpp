#include "apps/edge/request_handler.h"

#include "apps/edge/caller_connection.h"
#include "apps/edge/edge_clock.h"
#include "platform/request_dialect.h"

#include <utility>
#include <variant>

namespace quetzal {

using boost::system::error_code;

namespace {

/**
 * A request that must not run more than once uses only a recently used connection, because the
 * target may have closed one that was idle for longer.
 */
constexpr absl::Duration maxIdleTimeNotRepeatable = absl::Milliseconds(2500);
constexpr absl::Duration maxIdleTimeRepeatable = absl::Seconds(60);
constexpr int statusBadRequest = 400;

} // namespace

request_handler::request_handler(edge_context &context, std::weak_ptr<caller_connection> caller,
                                 request_head head, std::string body, request_arrival arrival)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_log(context, arrival)
    , m_timer(context.loop)
    , m_head(std::move(head))
    , m_body(std::make_shared<const std::string>(std::move(body)))
    , m_writer(m_head.method)
    , m_arrivedAt(arrival.firstByteAt)
{
}

void request_handler::start()
{
    auto description = platform::describeRequest(m_head);
    if (!description) {
        const rejection reason {.status = statusBadRequest, .code = result_code::HeaderInvalid};
        performAction(record_request_ended {
            .outcome = "rejected", .status = reason.status, .code = reason.code});
        performAction(answer_locally {.reason = reason});
        return;
    }
    const absl::Time now = edgeNow();
    m_log.setDescription(*description);
    m_lifecycle.emplace(m_context.node, m_context.nextRequest++, *std::move(description),
                        m_arrivedAt);
    m_context.turns.onWork();
    const request_actions actions = m_lifecycle->start(now);
    if (m_lifecycle->admitted() && !m_lifecycle->isFinished())
        startDeadlineTimer(now);
    performActions(actions);
}

void request_handler::startDeadlineTimer(absl::Time now)
{
    m_timer.expires_after(absl::ToChronoNanoseconds(m_lifecycle->deadline() - now));
    const std::weak_ptr<request_handler> weak = weak_from_this();
    m_timer.async_wait([weak](const error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->performActions(self->m_lifecycle->onDeadline(edgeNow()));
    });
}

void request_handler::onCallerDisconnected()
{
    if (m_lifecycle)
        performActions(m_lifecycle->onCallerDisconnected(edgeNow()));
}

void request_handler::onShutdownDue()
{
    if (m_lifecycle)
        performActions(m_lifecycle->onShutdownDue(edgeNow()));
}

void request_handler::performActions(const request_actions &actions)
{
    for (const request_action &action : actions)
        std::visit([this](const auto &what) { performAction(what); }, action);
}

void request_handler::performAction(const send_request &action)
{
    const absl::Time now = edgeNow();
    m_answerHead = {};
    m_log.sent(*m_lifecycle->admitted(), action.destination, now);
    m_connection = m_context.pool.acquire(
        {.target = action.destination.target,
         .address = action.destination.address,
         .maxConnections = action.destination.maxConnections,
         .maxIdleTime = action.isRepeatable ? maxIdleTimeRepeatable : maxIdleTimeNotRepeatable},
        now);
    if (!m_connection) {
        performActions(m_lifecycle->onNoConnection(now));
        return;
    }
    m_connection->start(
        {.head = headBytes(action), .body = m_body, .isHead = m_head.method == "HEAD"},
        callbacks());
}

std::string request_handler::headBytes(const send_request &action) const
{
    const request_head head
        = platform::requestForTarget(m_head,
                                     {.target = action.destination.target,
                                      .workspace = m_lifecycle->admitted()->workspace,
                                      .timeLeft = action.timeLeft,
                                      .lastEventId = action.lastEventId});
    const bool hasBody = !m_body->empty() || m_head.fields.find("Content-Length") != nullptr
        || m_head.fields.find("Transfer-Encoding") != nullptr;
    return toBytes(head, hasBody ? std::optional(m_body->size()) : std::nullopt);
}

exchange_callbacks request_handler::callbacks()
{
    const std::weak_ptr<request_handler> weak = weak_from_this();
    return {.onHead =
                [weak](const response_head &answer) {
                    const auto self = weak.lock();
                    return self ? self->onHead(answer) : answer_disposition::Abandon;
                },
            .onBody =
                [weak](const std::string &text) {
                    if (const auto self = weak.lock())
                        self->performActions(self->m_lifecycle->onAnswerBody(text, edgeNow()));
                },
            .onComplete =
                [weak] {
                    if (const auto self = weak.lock())
                        self->performActions(self->m_lifecycle->onAnswerComplete(edgeNow()));
                },
            .onFailed =
                [weak](const exchange_failure &failure) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    self->m_connection.reset();
                    self->performActions(self->m_lifecycle->onSendFailed(failure, edgeNow()));
                }};
}

answer_disposition request_handler::onHead(const response_head &head)
{
    answer_description answer = platform::describeAnswer(head);
    answer.isOnNewConnection = !m_connection->hasEarlierExchange();
    const head_decision decision = m_lifecycle->onAnswerHead(answer, edgeNow());
    if (decision.disposition == answer_disposition::Skip)
        m_log.answerMismatched(m_lifecycle->target(), answer.requestId, head.status);
    if (decision.disposition != answer_disposition::Accept)
        return decision.disposition;
    if (answer.idleTimeout)
        m_connection->setIdleTimeout(*answer.idleTimeout);
    m_answerHead = head;
    performActions(decision.actions);
    return decision.disposition;
}

void request_handler::performAction(const release_target &action)
{
    const auto connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    if (action.isCancelled)
        connection->cancel();
    else
        m_context.pool.release(action.target, connection, edgeNow());
}

void request_handler::performAction(const begin_stream &)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    caller->send(m_writer.begin(platform::responseForCaller(m_answerHead), !caller->canStayOpen()));
    const std::weak_ptr<request_handler> weak = weak_from_this();
    caller->setOnDrained([weak] {
        const auto self = weak.lock();
        if (self && self->m_connection)
            self->m_connection->setPaused(false);
    });
}

void request_handler::performAction(const relay_body &action)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    caller->send(m_writer.part(action.text));
    if (!m_connection)
        return;
    if (caller->isOutputFull())
        m_connection->setPaused(true);
    if (m_connection->hasReadAll())
        m_context.pacer.hold(m_connection);
}

void request_handler::performAction(const end_stream &)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    const bool close = !caller->canStayOpen();
    caller->send(m_writer.end());
    caller->finishAnswer(close);
}

void request_handler::performAction(const relay_answer &action)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    const bool close = !caller->canStayOpen();
    response_head head = platform::responseForCaller(m_answerHead);
    const std::string *length = m_answerHead.fields.find("Content-Length");
    if (m_head.method == "HEAD" && length != nullptr)
        head.fields.add("Content-Length", *length);
    caller->send(m_writer.whole(head, action.body, close));
    caller->finishAnswer(close);
}

void request_handler::performAction(const answer_locally &action)
{
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    const bool close = action.isNotExecuted || !caller->canStayOpen();
    const std::string requestId = m_lifecycle ? m_lifecycle->description().id : std::string();
    caller->send(m_writer.whole(platform::rejectionHead(action.reason, requestId),
                                platform::rejectionBody(action.reason), close));
    caller->finishAnswer(close);
}

void request_handler::performAction(const abort_answer &)
{
    if (const auto caller = m_caller.lock())
        caller->abort();
}

void request_handler::performAction(const record_answer_began &)
{
    m_log.answerBegan(m_lifecycle->admitted()->matchedRoute->kind, edgeNow());
}

void request_handler::performAction(const record_attempt_failed &action)
{
    m_log.attemptFailed(action, edgeNow());
}

void request_handler::performAction(const record_request_ended &action)
{
    const absl::Time now = edgeNow();
    m_timer.cancel();
    if (action.overload)
        m_log.overloaded(*m_lifecycle->admitted(), *action.overload, now);
    if (action.heldPart)
        m_log.partHeld(*m_lifecycle->admitted(), *action.heldPart);
    const bool isAdmitted = m_lifecycle && m_lifecycle->admitted();
    m_log.ended(isAdmitted ? &*m_lifecycle->admitted() : nullptr, action, now);
}

} // namespace quetzal
