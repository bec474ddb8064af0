#pragma once

#include "admission/capacity/capacity_estimate.h"
#include "admission/limit/backlog_limit.h"
#include "budgets/cold/cold_start_limiter.h"
#include "budgets/retry/shared_retry_budget.h"
#include "directory/target/target_record.h"
#include "forwarding/route/route_table.h"
#include "foundation/errors/result_code.h"
#include "placement/choice/target_choice.h"
#include "quarantine/evidence/quarantine_news.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

/** Limits that hold for all routers of the fleet together. */
struct fleet_limits
{
    retry_limits retries;
    /** Factor applied to the requests per second that a cold target of a service can serve. */
    double coldFactor = 1.0;
    /** Additional requests per second that may be sent to a cold target. */
    double coldAllowance = 0.0;

    bool operator==(const fleet_limits &) const = default;
};

/** Options of forwarding_node. */
struct forwarding_options
{
    /** The data centre of this router. */
    std::string dataCentre;
    router_group routers;
    fleet_limits fleet;
    choice_weights weights;
    backlog_limits limits;
    capacity_limits capacity;
    /** The cores that this router has, above 0. */
    double processorShare = 1.0;
    /** The time within which routers learn that the record of a target that ended has expired. */
    absl::Duration recordRemovalTime = absl::Seconds(5);
    /** The memory for answers that are not relayed yet, of all requests together. */
    std::size_t maxAnswerBytes = std::size_t {64} * 1024 * 1024;
    /**
     * When the process started. What an earlier one spent of the fleet's limits just before is not
     * known; the infinite past if there was none.
     */
    absl::Time startedAt = absl::InfinitePast();
    /** Distinguishes this run of the router from earlier ones in its digests. */
    std::uint64_t incarnation = 0;
};

/** The values that led to a rejection for overload. */
struct overload_cause
{
    /** True for a request beyond its workspace's share, for which no target is chosen. */
    bool isBeyondShare = false;
    /** The target that would have been chosen. */
    std::string target;
    /** The backlog of that target. */
    absl::Duration backlog;
    /** The part of the backlog that other routers reported. */
    absl::Duration peerBacklog;
    /** The backlog up to which the request would have been accepted. */
    absl::Duration limit;
    share_state share;

    bool operator==(const overload_cause &) const = default;
};

/** The prompt part for which a request is rejected. */
struct held_part_cause
{
    part_id part = 0;
    /** The number of separate moments at which targets ended under the part. */
    std::size_t ends = 0;
    /** For how long the part has been held. */
    absl::Duration heldFor;

    bool operator==(const held_part_cause &) const = default;
};

/** An answer of the router itself, to a request that it rejects or that failed. */
struct rejection
{
    int status = 0;
    result_code code = result_code::Ok;
    /** The time after which the caller may retry; nothing if a retry cannot succeed. */
    std::optional<absl::Duration> retryAfter;
    std::optional<overload_cause> overload;
    std::optional<held_part_cause> heldPart;

    bool operator==(const rejection &) const = default;
};

/** A request that the configuration admits. */
struct admitted_request
{
    /** Keeps matchedRoute valid. */
    std::shared_ptr<const route_table> table;
    const route *matchedRoute = nullptr;
    std::string service;
    /** Empty if the request carries no known API key. */
    std::string workspace;
    absl::Time arrivedAt;
    /** When the final answer must have been sent. */
    absl::Time deadline;
};

/** The target that a request is sent to, and the values on which the choice is based. */
struct placement
{
    std::string target;
    network_address address;
    std::string dataCentre;
    /** The number of connections that this router may have open to the target; 0 for no limit. */
    int maxConnections = 0;
    bool isCold = false;
    absl::Duration backlog;
    /** The part of the backlog that other routers reported. */
    absl::Duration peerBacklog;
    /** The backlog up to which the request was accepted. */
    absl::Duration limit;
    share_state share;
    absl::Duration work;
    std::int64_t missingTokens = 0;
    std::size_t candidates = 0;

    bool operator==(const placement &) const = default;
};

/** How an exchange with a target ended. */
enum class exchange_end
{
    /** The answer is complete. */
    Answered,
    /** The target ran the request and answered with a server error. */
    FailedAnswer,
    /** The target refused the request without running it. */
    RefusedUnrun,
    /** The target did not accept a connection. */
    NotSent,
    /** The connection broke, or no answer arrived. */
    Lost,
    /** The target sent data that is not a usable answer to the request. */
    Unusable,
    /** The caller disconnected, the deadline passed, or no connection was available. */
    Cancelled,
};

} // namespace quetzal
