#pragma once

#include "forwarding/lifecycle/request_action.h"
#include "forwarding/node/forwarding_node.h"
#include "forwarding/request/answer_description.h"
#include "forwarding/request/attempt_rules.h"
#include "forwarding/request/request_description.h"
#include "http/stream/event_scanner.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** What becomes of an answer, and what follows at once. */
struct head_decision
{
    answer_disposition use = answer_disposition::Accept;
    request_actions actions;
};

/**
 * The life of one request, from its arrival to its end: when it is sent, sent again, passed on,
 * answered by the router itself or broken off.
 *
 * It is in exactly one state: not started, sent to one target, or finished. Each call returns what
 * its owner does next; after the end every call returns nothing.
 */
class request_lifecycle
{
public:
    /** number tells the requests of one router apart. */
    request_lifecycle(forwarding_node &node, std::uint64_t number, request_description description,
                      absl::Time arrivedAt);

    /** The request was read whole; isStopping: the router takes no new requests. */
    request_actions start(bool isStopping, absl::Time now);
    /** There was no connection for the last send. */
    request_actions onNoConnection(absl::Time now);
    /** The last send failed, before its answer was whole. */
    request_actions onSendFailed(const exchange_failure &cause, absl::Time now);
    head_decision onAnswerHead(const answer_description &answer, absl::Time now);
    request_actions onAnswerBody(std::string_view text, absl::Time now);
    request_actions onAnswerComplete(absl::Time now);
    /** The time of the request is up; see deadline(). */
    request_actions onDeadline(absl::Time now);
    request_actions onCallerGone(absl::Time now);

    const request_description &description() const { return m_description; }
    /** The request as the configuration allows it; nothing before that or when it does not. */
    const std::optional<admitted_request> &admitted() const { return m_admitted; }
    /** When the final answer is due; far away before the request is admitted. */
    absl::Time deadline() const
    {
        return m_admitted ? m_admitted->deadline : absl::InfiniteFuture();
    }
    bool isFinished() const { return m_isFinished; }
    /** The target at which the request is; empty before the first send. */
    const std::string &target() const { return m_target; }

private:
    enum class relay
    {
        None,
        /** The body is collected until it is whole. */
        Whole,
        /** The body is passed on as it arrives; nothing was passed on yet. */
        StreamPending,
        Streaming,
    };

    void place(request_actions &actions, absl::Time now);
    void send(const placement &destination, request_actions &actions, absl::Time now);
    void retryOrFail(attempt_failure failure, std::string_view reason, request_actions &actions,
                     absl::Time now);
    void release(exchange_end end, request_actions &actions, absl::Time now);
    void completeFailure(request_actions &actions, absl::Time now);
    void relayWhole(request_actions &actions);
    void beginStream(request_actions &actions);
    void answerBegan(request_actions &actions, absl::Time now);
    void fail(bool timedOut, request_actions &actions);
    void reject(const rejection &reason, request_actions &actions);
    void abort(std::string_view outcome, request_actions &actions);
    void finish(record_request_ended end, request_actions &actions);
    bool mayResume() const;

    forwarding_node &m_node;
    std::uint64_t m_number;
    request_description m_description;
    absl::Time m_arrivedAt;
    std::optional<admitted_request> m_admitted;
    attempt_history m_history;
    absl::flat_hash_set<std::string> m_excluded;
    std::string m_target;
    answer_description m_answer;
    std::string m_answerBody;
    relay m_relay = relay::None;
    /** Finds whole events in streams that may go on at another target. */
    event_scanner m_events;
    bool m_isSent = false;
    bool m_answerBegan = false;
    /** True once the head of an answer was passed on, after which only its body may follow. */
    bool m_isHeadRelayed = false;
    bool m_isFinished = false;
};

} // namespace quetzal
