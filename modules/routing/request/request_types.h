#pragma once

#include "foundation/errors/result_code.h"
#include "protocol/messages/outgoing_message.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>

namespace quetzal {

/** Identifies a request during one run of a router process. */
using request_id = std::uint64_t;

/** The properties of a request that are known when it is received. */
struct request_description
{
    request_id id = 0;
    std::string workspace;
    std::string service;
    std::string requestKind;
    /** The caller's cost hint in the service's unit; 0 if there is none. */
    double hint = 0.0;
    absl::Time deadline = absl::InfiniteFuture();
    /** True if the request may run more than once. */
    bool idempotent = false;
    /** Memory that the request occupies while it waits. */
    std::int64_t bytes = 0;

    bool operator==(const request_description &) const = default;
};

/** Identifies one grant of one shard owner. */
struct ticket_reference
{
    std::string shard;
    std::int64_t epoch = 0;
    std::int64_t ticket = 0;

    auto operator<=>(const ticket_reference &) const = default;
};

/** How one attempt ended. */
enum class attempt_ending
{
    /** The whole answer was forwarded to the caller. */
    Completed,
    /** No byte of the request can have left this router. */
    NotSent,
    /** The target rejected the request and stated that it did not run it. */
    RejectedNotExecuted,
    /** The request was sent and no byte of the answer was forwarded to the caller. */
    LostBeforeAnswer,
    /** Part of the answer was forwarded to the caller and the rest cannot be obtained. */
    LostDuringAnswer,
    /** The target answered with another request's identifier; nothing was forwarded. */
    Mismatched,
    /** The caller disconnected or the deadline passed; the request was cancelled at the target. */
    Cancelled,
};

/** The result of one attempt. */
struct attempt_result
{
    attempt_ending ending = attempt_ending::NotSent;
    /** Units that the target produced, in the service's unit. */
    double units = 0.0;
    protocol::target_signal signal = protocol::target_signal::None;
    /** Instance identifier that the target sent; empty if it sent none. */
    std::string targetInstance;

    bool operator==(const attempt_result &) const = default;
};

/** Action: sends the request to the target. */
struct dispatch_request
{
    request_id request = 0;
    ticket_reference ticket;
    std::string target;
    std::string address;
    absl::Time deadline;

    bool operator==(const dispatch_request &) const = default;
};

/** Action: finishes the request; unless the code is Ok, the caller receives it as an error. */
struct finish_request
{
    request_id request = 0;
    result_code code = result_code::Ok;
    execution_state execution = execution_state::Run;
    /** Time after which the caller should retry; zero for no advice. */
    absl::Duration retryAfter;

    bool operator==(const finish_request &) const = default;
};

/** Action: stops the running attempt and cancels it at the target. */
struct cancel_attempt
{
    request_id request = 0;

    bool operator==(const cancel_attempt &) const = default;
};

using router_action
    = std::variant<dispatch_request, finish_request, cancel_attempt, outgoing_message>;

} // namespace quetzal
