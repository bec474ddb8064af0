#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace quetzal {

/** The properties of a target's answer that the router decides on. */
struct answer_description
{
    /** The identifier of the answered request; empty if the answer contains none. */
    std::string requestId;
    int status = 0;
    /** True if the target states that it did not run the request. */
    bool isNotExecuted = false;
    /** True if no earlier request was sent over the connection, whose answer this could be. */
    bool isOnNewConnection = false;
    /** True if a different target answered at the address. */
    bool isFromOtherTarget = false;
    /** True if the answer carries the target's signature. */
    bool isSigned = false;
    /**
     * True if the body has a content encoding that was not requested, so that it is not the
     * target's original body.
     */
    bool isEncoded = false;
    /** True if the body has neither a length nor chunks, so that it ends with its connection. */
    bool endsWithConnection = false;
    /** True if the target says that it leaves. */
    bool isTargetLeaving = false;
    /** For how long the target wants no further requests, if it refused this one for that. */
    std::optional<absl::Duration> retryAfter;
    /** How long the target keeps an idle connection open. */
    std::optional<absl::Duration> idleTimeout;
    /** The number of requests running at the target; nothing if the answer reports no load. */
    std::optional<int> running;
    /** The number of requests queued at the target. */
    int waiting = 0;
    /** The number of requests that the target processes at once. */
    int slots = 0;

    bool isSuccess() const { return status >= 200 && status < 300; }
    bool operator==(const answer_description &) const = default;
};

} // namespace quetzal
