#pragma once

#include "forwarding/node/forwarding_types.h"
#include "forwarding/request/attempt_rules.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzal {

/** Sends the request to a target. */
struct send_request
{
    placement destination;
    /** The time until the deadline of the request, which is sent to the target. */
    absl::Duration timeLeft;
    /** The id of the last event relayed to the caller; empty unless the router resumes a stream. */
    std::string lastEventId;
    /**
     * True if the request may run more than once, so that it may be sent over a pooled connection
     * that the target may have closed meanwhile.
     */
    bool isRepeatable = false;

    bool operator==(const send_request &) const = default;
};

/** Ends the exchange with the target. */
struct release_target
{
    std::string target;
    /** True if the target may still process the request: its connection is closed to stop it. */
    bool isCancelled = false;

    bool operator==(const release_target &) const = default;
};

/** Relays the head of the target's answer and announces a body of unknown length. */
struct begin_stream
{
    bool operator==(const begin_stream &) const = default;
};

/** Relays a part of the body to the caller. */
struct relay_body
{
    std::string text;

    bool operator==(const relay_body &) const = default;
};

/** Completes the relayed body. */
struct end_stream
{
    bool operator==(const end_stream &) const = default;
};

/** Relays the target's complete answer with this body. */
struct relay_answer
{
    std::string body;

    bool operator==(const relay_answer &) const = default;
};

/** Answers the caller with the router's own rejection or error. */
struct answer_locally
{
    rejection reason;
    /** True if it is certain that no target executed the request. */
    bool isNotExecuted = true;

    bool operator==(const answer_locally &) const = default;
};

/** Aborts the caller's connection, so that a truncated answer does not look complete. */
struct abort_answer
{
    bool operator==(const abort_answer &) const = default;
};

/** Reports the first byte of an answer, for logs and metrics. */
struct record_answer_began
{
    bool operator==(const record_answer_began &) const = default;
};

/** Reports a failed attempt, for logs and metrics. */
struct record_attempt_failed
{
    std::string target;
    attempt_failure failure = attempt_failure::NotSent;
    std::string reason;

    bool operator==(const record_attempt_failed &) const = default;
};

/** Reports the end of the request, for logs and metrics. */
struct record_request_ended
{
    std::string_view outcome;
    /** The status that the caller received, or would have received. */
    int status = 0;
    result_code code = result_code::Ok;
    /** The target of the last attempt; empty if there was none. */
    std::string target;
    /** The number of attempts after which the request may have run. */
    int mayHaveRun = 0;
    /** The backlog and the limit that led to a rejection for overload. */
    std::optional<overload_cause> overload;
    /** The prompt part for which the request was rejected. */
    std::optional<held_part_cause> heldPart;

    bool operator==(const record_request_ended &) const = default;
};

/** One step that the owner of a request_lifecycle carries out. */
using request_action
    = std::variant<send_request, release_target, begin_stream, relay_body, end_stream, relay_answer,
                   answer_locally, abort_answer, record_answer_began, record_attempt_failed,
                   record_request_ended>;

/** Actions in the order of their execution. */
using request_actions = std::vector<request_action>;

/** What happens to an answer after its head was read. */
enum class answer_disposition
{
    /** The answer belongs to the request and its body is processed. */
    Accept,
    /** The answer belongs to another request: it is read to its end and discarded. */
    Skip,
    /** The connection is closed, because it can't be reused. */
    Abandon,
};

/** Describes why an exchange with a target failed. */
struct exchange_failure
{
    /** True if bytes of the request may have reached the target. */
    bool isSent = false;
    /**
     * True if the target is known to be running, because it sent a malformed or unusable answer.
     */
    bool isTargetAlive = false;
    /** The observed failure, for the log. */
    std::string_view reason;

    bool operator==(const exchange_failure &) const = default;
};

} // namespace quetzal
