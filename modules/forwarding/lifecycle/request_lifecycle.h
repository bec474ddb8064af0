#pragma once

#include "forwarding/lifecycle/request_action.h"
#include "forwarding/node/forwarding_node.h"
#include "forwarding/request/answer_description.h"
#include "forwarding/request/attempt_rules.h"
#include "forwarding/request/request_description.h"
#include "http/stream/event_boundary.h"
#include "http/stream/event_scanner.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** The disposition of an answer, and the actions to carry out at once. */
struct head_decision
{
    answer_disposition disposition = answer_disposition::Accept;
    request_actions actions;
};

/**
 * State machine of one request, from its arrival to its end: decides when the request is sent,
 * retried, relayed, answered by the router itself or aborted.
 *
 * The request is in exactly one state: not started, sent to one target, or finished. Each call
 * returns the actions that the owner carries out next; once finished, every call returns none.
 */
class request_lifecycle
{
public:
    /** Creates a request that has not started; number is unique within the router. */
    request_lifecycle(forwarding_node &node, std::uint64_t number, request_description description,
                      absl::Time arrivedAt);

    /** Starts a request that was read completely, or rejects it. */
    request_actions start(absl::Time now);
    /** Must be called when no connection is available for the last attempt. */
    request_actions onNoConnection(absl::Time now);
    /** Must be called when the last attempt fails before its answer is complete. */
    request_actions onSendFailed(const exchange_failure &cause, absl::Time now);
    /** Handles the head of an answer from the current target. */
    head_decision onAnswerHead(const answer_description &answer, absl::Time now);
    /** Handles a part of the body of the accepted answer. */
    request_actions onAnswerBody(std::string_view text, absl::Time now);
    /** Handles the end of the accepted answer. */
    request_actions onAnswerComplete(absl::Time now);
    /** Must be called when the deadline() of the request has passed. */
    request_actions onDeadline(absl::Time now);
    /**
     * Must be called when the answers of a router that shuts down are due. A request that may have
     * run is not reported as not run.
     */
    request_actions onShutdownDue(absl::Time now);
    /** Must be called when the caller disconnects. */
    request_actions onCallerDisconnected(absl::Time now);

    const request_description &description() const { return m_description; }
    /** Returns the admitted request; nothing before start() or if the request was rejected. */
    const std::optional<admitted_request> &admitted() const { return m_admitted; }
    /** Returns the deadline of the final answer; infinite until the request is admitted. */
    absl::Time deadline() const
    {
        return m_admitted ? m_admitted->deadline : absl::InfiniteFuture();
    }
    bool isFinished() const { return m_isFinished; }
    /** Returns the target of the last attempt; empty before the first one. */
    const std::string &target() const { return m_target; }

private:
    enum class relay
    {
        None,
        /** The body is buffered until it is complete. */
        Buffered,
        /** The body is relayed as it arrives; nothing has been relayed yet. */
        StreamPending,
        /** A part of the body has been relayed. */
        Streaming,
    };

    /** Chooses a target and sends the request, or ends it with an error. */
    void place(request_actions &actions, absl::Time now);
    void send(const placement &destination, request_actions &actions, absl::Time now);
    /** Records a failed attempt, then retries if the rules and the budget allow it. */
    void retryOrFail(attempt_failure failure, std::string_view reason, request_actions &actions,
                     absl::Time now);
    /**
     * True if an answer can be expected to be complete before a shutdown in progress ends the
     * request, or if there is no shutdown.
     */
    bool canEndBeforeShutdown(absl::Time now) const;
    /** Returns how long the answer to another attempt can be expected to take. */
    absl::Duration expectedTime() const;
    /** Ends the exchange with the current target. */
    void release(exchange_end end, request_actions &actions, absl::Time now);
    /** Stops waiting for the answer of the current target, if the request was sent to one. */
    void cancelAttempt(request_actions &actions, absl::Time now);
    /** Handles a complete answer with a server error: retries, or relays it. */
    void onServerError(request_actions &actions, absl::Time now);
    void relayCompleteAnswer(request_actions &actions, absl::Time now);
    /** Ends the exchange with a target whose answer cannot be used. */
    request_actions abandonAnswer(const exchange_failure &cause, absl::Time now);
    /** Counts the bytes that are held; true if they are too many. */
    bool holdsTooMuch();
    /** True if the answer is a stream whose last event is not complete. */
    bool isInsideEvent() const;
    void beginStream(request_actions &actions);
    void recordAnswerBegan(request_actions &actions, absl::Time now);
    /** Records that the target does not crash under the prompt, once for each attempt. */
    void recordPromptSound(absl::Time now);
    /** Rejects the request because the router shuts down and another one can serve it. */
    void rejectForShutdown(request_actions &actions, absl::Time now);
    /** Ends the request without an answer from a target. */
    void fail(bool timedOut, request_actions &actions, absl::Time now);
    /** Ends the request with the router's own answer, or aborts it after the head was relayed. */
    void reject(const rejection &reason, request_actions &actions, absl::Time now);
    /** Ends the request by aborting the caller's connection, after the head was relayed. */
    void abort(std::string_view outcome, request_actions &actions);
    void finish(record_request_ended end, request_actions &actions);
    /** True if a broken stream may continue at another target. */
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
    /** Splits resumable streams into complete events, so that another target can continue them. */
    event_scanner m_events;
    /** The bytes of the answer that are not relayed yet. */
    byte_reservation m_heldBytes;
    /** Finds the end of streams that are relayed as they come. */
    event_boundary m_eventBoundary;
    bool m_isSent = false;
    absl::Time m_sentAt = absl::InfinitePast();
    /** The longest time that a target worked on the request without completing an answer. */
    absl::Duration m_longestAttempt;
    bool m_answerBegan = false;
    absl::Time m_answerBeganAt = absl::InfiniteFuture();
    /** True once the answer showed that its target does not crash under the prompt. */
    bool m_isPromptSound = false;
    /** True once the head of an answer was relayed, after which only body parts may follow. */
    bool m_isHeadRelayed = false;
    bool m_isFinished = false;
};

} // namespace quetzal
