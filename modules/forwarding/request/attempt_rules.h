#pragma once

#include "forwarding/route/route_table.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace quetzal {

/** How one send to a target ended without an answer for the caller. */
enum class attempt_failure
{
    /** No byte was sent. */
    NotSent,
    /** The target said that it did not run the request. */
    RefusedUnrun,
    /** Sent, and no whole answer came; it may have run. */
    AnswerLost,
    /** The target ran the request and failed. */
    Failed,
};

/** The name of a failure in logs and metrics. */
std::string toText(attempt_failure failure);

/** What happened to a request so far. */
struct attempt_history
{
    /** Sends that failed before a byte left. */
    int unsent = 0;
    /** Sends that targets refused without running the request. */
    int refused = 0;
    /** Sends after which the request may have run. */
    int mayHaveRun = 0;

    /** True when it is certain that the request has not run. */
    bool isNotExecuted() const { return mayHaveRun == 0; }
    bool operator==(const attempt_history &) const = default;
};

/** The history after one more failure. */
attempt_history withFailure(const attempt_history &history, attempt_failure failure);

/**
 * True when the rules of the route allow another send after these failures. The budget of repeated
 * sends is asked separately; see consumesRetryBudget().
 */
bool mayRetry(const route &route, const attempt_history &history);

/** True when the next send would be a repeat in the eyes of the service. */
bool consumesRetryBudget(const attempt_history &history);

/** The final status when nothing more is sent: only an unrun request may be called so. */
int finalStatus(const attempt_history &history, bool timedOut);

} // namespace quetzal
