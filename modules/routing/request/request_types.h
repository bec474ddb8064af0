#pragma once

#include "foundation/errors/result_code.h"
#include "protocol/messages/outgoing_message.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>

namespace quetzal {

/** Identifies a request within one start of a router. */
using request_id = std::uint64_t;

/** What the router knows of a request when it arrives. */
struct request_description
{
    request_id id = 0;
    std::string workspace;
    std::string service;
    std::string requestKind;
    /** The caller's cost hint in the service's unit; 0 when there is none. */
    double hint = 0.0;
    absl::Time deadline = absl::InfiniteFuture();
    /** Whether the request may run more than once. */
    bool idempotent = false;
    /** Bytes that the request occupies while it waits. */
    std::int64_t bytes = 0;

    bool operator==(const request_description &) const = default;
};

/** Names one grant of one shard owner. */
struct ticket_reference
{
    std::string shard;
    std::int64_t epoch = 0;
    std::int64_t ticket = 0;

    auto operator<=>(const ticket_reference &) const = default;
};

/** How one attempt at a target ended. */
enum class attempt_ending
{
    /** The whole answer went to the caller. */
    AnsweredWhole,
    /** No byte of the request can have left this router. */
    NotSent,
    /** The target refused the request and says that it did not run it. */
    RefusedUnrun,
    /** The request was sent and no byte of the answer went to the caller. */
    LostBeforeAnswer,
    /** Part of the answer went to the caller and the rest cannot be had. */
    LostDuringAnswer,
    /** The target answered with another request's identifier; nothing went to the caller. */
    Mismatched,
    /** The caller went away or the deadline passed; the request was cancelled at the target. */
    Cancelled,
};

/** What an attempt at a target brought. */
struct attempt_result
{
    attempt_ending ending = attempt_ending::NotSent;
    /** Units of the service that the target produced. */
    double units = 0.0;
    protocol::target_signal signal = protocol::target_signal::None;
    /** Instance id that the target gave; empty when it gave none. */
    std::string targetInstance;

    bool operator==(const attempt_result &) const = default;
};

/** Send the request to the target now. */
struct dispatch_request
{
    request_id request = 0;
    ticket_reference ticket;
    std::string target;
    std::string address;
    absl::Time deadline;

    bool operator==(const dispatch_request &) const = default;
};

/** The request is done; unless the code is Ok the caller is told so. */
struct finish_request
{
    request_id request = 0;
    result_code code = result_code::Ok;
    execution_state execution = execution_state::Run;
    /** When the caller should retry; zero for no advice. */
    absl::Duration retryAfter;

    bool operator==(const finish_request &) const = default;
};

/** Stop the running attempt and cancel it at the target. */
struct cancel_attempt
{
    request_id request = 0;

    bool operator==(const cancel_attempt &) const = default;
};

using router_action
    = std::variant<dispatch_request, finish_request, cancel_attempt, outgoing_message>;

} // namespace quetzal
