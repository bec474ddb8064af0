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

/** Send the request to a target. */
struct send_request
{
    placement destination;
    /** How long the target may work on it. */
    absl::Duration timeLeft;
    /** The last event that the caller has; empty unless the router resumes a stream. */
    std::string lastEventId;
    /** True when a connection that may have died meanwhile will do. */
    bool isRepeatable = false;

    bool operator==(const send_request &) const = default;
};

/** The exchange with the target is over. */
struct release_target
{
    std::string target;
    /** The target may still be at work: its connection is closed so that it stops. */
    bool isCancelled = false;

    bool operator==(const release_target &) const = default;
};

/** Pass on the head of the target's answer, with a body of unknown length. */
struct begin_stream
{
    bool operator==(const begin_stream &) const = default;
};

/** Pass on a part of the body. */
struct relay_body
{
    std::string text;

    bool operator==(const relay_body &) const = default;
};

/** The body that was passed on is complete. */
struct end_stream
{
    bool operator==(const end_stream &) const = default;
};

/** Pass on the target's whole answer with this body. */
struct relay_answer
{
    std::string body;

    bool operator==(const relay_answer &) const = default;
};

/** Give the router's own answer. */
struct answer_locally
{
    rejection reason;
    /** True when the request is known not to have run. */
    bool isNotExecuted = true;

    bool operator==(const answer_locally &) const = default;
};

/** Break the caller's connection off, so that the answer does not look complete. */
struct abort_answer
{
    bool operator==(const abort_answer &) const = default;
};

/** For the log: the first byte of an answer came. */
struct record_answer_began
{
    bool operator==(const record_answer_began &) const = default;
};

/** For the log: one send came to nothing. */
struct record_attempt_failed
{
    std::string target;
    attempt_failure failure = attempt_failure::NotSent;
    std::string reason;

    bool operator==(const record_attempt_failed &) const = default;
};

/** For the log: the request is over. */
struct record_request_ended
{
    std::string_view outcome;
    /** The status that the caller got, or would have got. */
    int status = 0;
    result_code code = result_code::Ok;
    /** The last target; empty when nothing was sent. */
    std::string target;
    /** Sends after which the request may have run. */
    int mayHaveRun = 0;
    /** What decided a rejection for too much work. */
    std::optional<overload_cause> overload;

    bool operator==(const record_request_ended &) const = default;
};

/** What the owner of a request does next. */
using request_action
    = std::variant<send_request, release_target, begin_stream, relay_body, end_stream, relay_answer,
                   answer_locally, abort_answer, record_answer_began, record_attempt_failed,
                   record_request_ended>;

/** Actions in the order in which they are carried out. */
using request_actions = std::vector<request_action>;

/** What becomes of an answer once its head was read. */
enum class answer_disposition
{
    Accept,
    /** It belongs to another request: it is read to its end and forgotten. */
    Skip,
    /** The connection can't be used any more. */
    Abandon,
};

/** Why an exchange failed. */
struct exchange_failure
{
    /** Bytes of the request may have reached the target. */
    bool isSent = false;
    /** The target sent what can't be used, so that it has not stopped. */
    bool isTargetAlive = false;
    /** What was seen, for the log. */
    std::string_view reason;

    bool operator==(const exchange_failure &) const = default;
};

} // namespace quetzal
