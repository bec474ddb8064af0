#include "emulator/router/emulated_router.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

constexpr absl::Duration connectTimeout = absl::Milliseconds(400);
/** Maximum time that sent bytes may remain unacknowledged. */
constexpr absl::Duration unacknowledgedTimeout = absl::Milliseconds(1500);
/** Bytes of a body that one turn of the event loop reads at most. */
constexpr std::int64_t bytesPerRead = 8192;
/** Connections that one turn of the event loop accepts or turns away at most. */
constexpr int maxConnectionsPerTurn = 256;

} // namespace

std::uint64_t emulated_router::receive(const caller_request &request, caller_sink sink)
{
    const std::uint64_t number = ++m_lastRequestNumber;
    const absl::Time arrivedAt = m_network.events().now();
    request_record record {.request = request, .sink = std::move(sink)};
    record.lifecycle
        = std::make_unique<request_lifecycle>(m_node, number, request.description, arrivedAt);
    m_requests.emplace(number, std::move(record));
    if (!m_processor) {
        runWhenActive([this, number] { readRequest(number); });
        return number;
    }
    m_acceptQueue.push_back(number);
    acceptConnections();
    return number;
}

void emulated_router::acceptConnections()
{
    if (m_acceptQueue.empty() || std::exchange(m_isAccepting, true))
        return;
    m_processor->post([this] {
        absl::Duration used;
        for (int turn = 0; turn < maxConnectionsPerTurn && !m_acceptQueue.empty(); ++turn) {
            const std::uint64_t number = m_acceptQueue.front();
            m_acceptQueue.pop_front();
            used += takeConnection(number);
        }
        m_isAccepting = false;
        acceptConnections();
        return used;
    });
}

absl::Duration emulated_router::takeConnection(std::uint64_t number)
{
    onTurnWork();
    if (m_node.tryTakeConnection()) {
        readPart(number, bodyPartsOf(number));
        return m_options.processor->acceptedConnection;
    }
    if (const auto found = m_requests.find(number); found != m_requests.end()) {
        found->second.sink(router_answer {.reason = forwarding_node::connectionRejection()});
        m_requests.erase(found);
    }
    return m_options.processor->rejectedConnection;
}

std::int64_t emulated_router::bodyPartsOf(std::uint64_t number) const
{
    const auto found = m_requests.find(number);
    const std::int64_t bytes = found == m_requests.end() ? 0 : found->second.request.bodyBytes;
    return (bytes + bytesPerRead - 1) / bytesPerRead;
}

void emulated_router::readPart(std::uint64_t number, std::int64_t partsLeft)
{
    m_processor->post([this, number, partsLeft] {
        const absl::Duration used = partsLeft > 0 && m_requests.contains(number)
            ? m_options.processor->readPart
            : absl::ZeroDuration();
        if (partsLeft <= 1)
            return used + readRequest(number);
        readPart(number, partsLeft - 1);
        return used;
    });
}

absl::Duration emulated_router::readRequest(std::uint64_t number)
{
    const auto found = m_requests.find(number);
    if (!m_isUp || found == m_requests.end())
        return absl::ZeroDuration();
    found->second.isRead = true;
    const std::int64_t bodyParts = bodyPartsOf(number);
    request_lifecycle &lifecycle = *found->second.lifecycle;
    const absl::Time now = m_network.events().now();
    onTurnWork();
    const request_actions actions = lifecycle.start(now);
    const bool isSent = lifecycle.admitted() && !lifecycle.isFinished();
    if (isSent)
        m_network.events().after(lifecycle.deadline() - now, [this, number] {
            runWhenActive([this, number] {
                if (const auto run = m_requests.find(number); run != m_requests.end())
                    perform(number, run->second.lifecycle->onDeadline(m_network.events().now()));
            });
        });
    perform(number, actions);
    if (!m_options.processor)
        return absl::ZeroDuration();
    if (!isSent)
        return m_options.processor->rejectedRequest;
    return m_options.processor->sentRequest + bodyParts * m_options.processor->sentPart;
}

void emulated_router::runEvent(absl::Duration processorTime, std::function<void()> event)
{
    if (!m_processor) {
        runWhenActive(std::move(event));
        return;
    }
    m_processor->post([this, processorTime, event = std::move(event)] {
        runWhenActive(event);
        return processorTime;
    });
}

int emulated_router::openConnections(const network_address &address) const
{
    const auto found = m_openConnections.find(address);
    return found == m_openConnections.end() ? 0 : found->second;
}

bool emulated_router::isUnread(std::uint64_t number) const
{
    const auto found = m_requests.find(number);
    return m_processor && found != m_requests.end() && !found->second.isRead;
}

void emulated_router::onCallerDisconnected(std::uint64_t number)
{
    runWhenActive([this, number] {
        if (const auto run = m_requests.find(number); run != m_requests.end())
            perform(number, run->second.lifecycle->onCallerDisconnected(m_network.events().now()));
    });
}

void emulated_router::perform(std::uint64_t number, const request_actions &actions)
{
    for (const request_action &action : actions) {
        const auto run = m_requests.find(number);
        if (run == m_requests.end())
            return;
        request_record &record = run->second;
        if (const auto *sending = std::get_if<send_request>(&action))
            send(number, *sending);
        else if (const auto *released = std::get_if<release_target>(&action))
            release(record, released->isCancelled);
        else if (std::holds_alternative<begin_stream>(action))
            record.sink(stream_began {});
        else if (const auto *part = std::get_if<relay_body>(&action))
            record.sink(stream_text {.text = part->text});
        else if (std::holds_alternative<end_stream>(action))
            record.sink(stream_ended {});
        else if (const auto *whole = std::get_if<relay_answer>(&action))
            record.sink(complete_answer {.status = record.answerStatus, .body = whole->body});
        else if (const auto *own = std::get_if<answer_locally>(&action))
            record.sink(router_answer {.reason = own->reason});
        else if (std::holds_alternative<abort_answer>(action))
            record.sink(connection_broken {});
    }
    if (const auto run = m_requests.find(number);
        run != m_requests.end() && run->second.lifecycle->isFinished())
        m_requests.erase(run);
}

void emulated_router::send(std::uint64_t number, const send_request &action)
{
    request_record &record = m_requests.at(number);
    const network_address address = action.destination.address;
    const absl::Time now = m_network.events().now();
    int &idle = m_idleConnections[address];
    int &open = m_openConnections[address];
    if (idle == 0 && action.destination.maxConnections > 0
        && open >= action.destination.maxConnections) {
        perform(number, record.lifecycle->onNoConnection(now));
        return;
    }
    ++m_sentRequests;
    record.isNewConnection = idle == 0;
    idle = std::max(idle - 1, 0);
    open += record.isNewConnection ? 1 : 0;
    record.exchange = m_network.nextExchange();
    record.address = address;
    target_request request {.id = record.request.description.id,
                            .expectedTarget = action.destination.target,
                            .prompt = record.request.description.prompt,
                            .outputTokens = record.request.outputTokens,
                            .work = record.request.work,
                            .deadline = now + action.timeLeft,
                            .isStream = record.request.isStream,
                            .alwaysFails = record.request.alwaysFails};
    if (!action.lastEventId.empty())
        request.lastEvent = std::stoi(action.lastEventId);
    m_network.sendToTarget(
        vm(), address, record.exchange, request,
        [this, number, exchange = record.exchange](const exchange_reply &reply) {
            runEvent(m_options.processor.value_or(processor_parameters {}).relayedPart,
                     [this, number, exchange, reply] { onReply(number, exchange, reply); });
        });
}

void emulated_router::onReply(std::uint64_t number, std::uint64_t exchange,
                              const exchange_reply &reply)
{
    const auto run = m_requests.find(number);
    if (run == m_requests.end() || run->second.exchange != exchange)
        return;
    request_record &record = run->second;
    const absl::Time now = m_network.events().now();
    if (const auto *failure = std::get_if<link_failure>(&reply)) {
        onLinkFailure(number, *failure);
        return;
    }
    const target_reply &message = std::get<target_reply>(reply);
    if (const auto *head = std::get_if<answer_head>(&message)) {
        const head_decision decision = record.lifecycle->onAnswerHead(head->description, now);
        record.answerStatus = head->description.status;
        if (decision.disposition == answer_disposition::Abandon)
            fail(number, exchange,
                 {.isSent = true, .isTargetAlive = true, .reason = "answer_unusable"});
        else
            perform(number, decision.actions);
    } else if (const auto *text = std::get_if<answer_text>(&message)) {
        perform(number, record.lifecycle->onAnswerBody(text->text, now));
    } else if (std::holds_alternative<answer_end>(message)) {
        perform(number, record.lifecycle->onAnswerComplete(now));
    } else {
        fail(number, exchange, {.isSent = true, .reason = "broken"});
    }
}

void emulated_router::onLinkFailure(std::uint64_t number, link_failure failure)
{
    request_record &record = m_requests.at(number);
    const std::uint64_t exchange = record.exchange;
    if (failure == link_failure::Refused) {
        fail(number, exchange, {.isSent = !record.isNewConnection, .reason = "connect_failed"});
        return;
    }
    if (failure == link_failure::Reset) {
        fail(number, exchange, {.isSent = true, .reason = "broken"});
        return;
    }
    const absl::Duration wait = record.isNewConnection ? connectTimeout : unacknowledgedTimeout;
    const exchange_failure cause {.isSent = !record.isNewConnection, .reason = "silent"};
    m_network.events().after(wait, [this, number, exchange, cause] {
        runWhenActive([this, number, exchange, cause] { fail(number, exchange, cause); });
    });
}

void emulated_router::fail(std::uint64_t number, std::uint64_t exchange,
                           const exchange_failure &failure)
{
    const auto run = m_requests.find(number);
    if (run == m_requests.end() || run->second.exchange != exchange)
        return;
    release(run->second, true);
    perform(number, run->second.lifecycle->onSendFailed(failure, m_network.events().now()));
}

void emulated_router::release(request_record &record, bool isCancelled)
{
    const std::uint64_t exchange = std::exchange(record.exchange, 0);
    if (exchange == 0)
        return;
    if (isCancelled) {
        --m_openConnections[record.address];
        m_network.cancel(vm(), record.address, exchange);
    } else {
        ++m_idleConnections[record.address];
    }
}

void emulated_router::onTargetClosed(const network_address &address)
{
    m_openConnections[address] -= std::exchange(m_idleConnections[address], 0);
}

} // namespace quetzal::bench
