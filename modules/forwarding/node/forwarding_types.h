#pragma once

#include "admission/limit/backlog_limit.h"
#include "budgets/cold/cold_start_limiter.h"
#include "budgets/retry/shared_retry_budget.h"
#include "directory/target/target_record.h"
#include "forwarding/route/route_table.h"
#include "foundation/errors/result_code.h"
#include "placement/choice/target_choice.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

/** Limits that all routers of the fleet keep together. */
struct fleet_limits
{
    retry_limits retries;
    /** Requests a second that cold targets may get over what they bear, as a factor. */
    double coldFactor = 1.0;
    /** The same, as requests on top. */
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
    /** Tells the lives of this router apart in what it tells the others. */
    std::uint64_t incarnation = 0;
};

/** What decided that there is too much work for a request. */
struct overload_cause
{
    /** The best target, its waiting work, and the limit for this request. */
    std::string target;
    absl::Duration backlog;
    absl::Duration limit;
    share_state share;

    bool operator==(const overload_cause &) const = default;
};

/** A request that is answered by the router itself. */
struct rejection
{
    int status = 0;
    result_code code = result_code::Ok;
    /** When the caller may come back; nothing when coming back is of no use. */
    std::optional<absl::Duration> retryAfter;
    std::optional<overload_cause> overload;

    bool operator==(const rejection &) const = default;
};

/** A request that the configuration allows. */
struct admitted_request
{
    /** Keeps the route alive. */
    std::shared_ptr<const route_table> table;
    const route *matchedRoute = nullptr;
    std::string service;
    /** Empty when the request carries no known key. */
    std::string workspace;
    absl::Time arrivedAt;
    /** When the final answer is due. */
    absl::Time deadline;
};

/** Where a request is sent, and what decided it. */
struct placement
{
    std::string target;
    network_address address;
    std::string dataCentre;
    /** Connections to the target that this router may have open. */
    int maxConnections = 0;
    bool isCold = false;
    absl::Duration backlog;
    absl::Duration work;
    std::int64_t missingTokens = 0;
    std::size_t candidates = 0;

    bool operator==(const placement &) const = default;
};

/** How an exchange with a target ended. */
enum class exchange_end
{
    Answered,
    /** The target ran the request and answered with a failure of its own. */
    FailedAnswer,
    RefusedUnrun,
    /** The target did not accept a connection. */
    NotSent,
    /** The connection broke, or nothing came back. */
    Lost,
    /** The target sent something that is not the answer. */
    Unusable,
    /** The caller left, or the time was up. */
    Cancelled,
};

} // namespace quetzal
