#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace quetzal {

/** What a router needs to know of a target's answer. */
struct answer_description
{
    /** The identifier of the request that is answered; empty when the answer names none. */
    std::string requestId;
    int status = 0;
    /** The target says that it did not run the request. */
    bool isNotExecuted = false;
    /** Another target answered at the address. */
    bool isFromOtherTarget = false;
    /** The answer bears the target's signature. */
    bool isSigned = false;
    /** The body is encoded although nobody asked for it, so that it is not the target's body. */
    bool isEncoded = false;
    /** How long the target keeps the connection open while nothing is sent. */
    std::optional<absl::Duration> idleTimeout;
    /** Requests running and waiting there, and the number processed at once. */
    std::optional<int> running;
    int waiting = 0;
    int slots = 0;

    bool isSuccess() const { return status >= 200 && status < 300; }
    bool operator==(const answer_description &) const = default;
};

} // namespace quetzal
