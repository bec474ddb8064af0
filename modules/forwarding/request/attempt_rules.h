#pragma once

#include "forwarding/route/route_table.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace quetzal {

/** How an attempt ended without an answer for the caller. */
enum class attempt_failure
{
    /** No byte was sent. */
    NotSent,
    /** The target stated that it did not run the request. */
    RefusedUnrun,
    /** The request was sent, but no complete answer arrived; it may have run. */
    AnswerLost,
    /** The target ran the request and answered with a server error. */
    Failed,
};

/** Returns the name of a failure in logs and metrics. */
std::string toText(attempt_failure failure);

/** The failed attempts of a request so far, by consequence. */
struct attempt_history
{
    /** Attempts that failed before a byte was sent. */
    int unsent = 0;
    /** Attempts that targets refused without running the request. */
    int refused = 0;
    /** Attempts after which the request may have run. */
    int mayHaveRun = 0;

    /** True if it is certain that the request has not run. */
    bool isNotExecuted() const { return mayHaveRun == 0; }
    bool operator==(const attempt_history &) const = default;
};

/** Returns the history with one more failed attempt. */
attempt_history withFailure(const attempt_history &history, attempt_failure failure);

/**
 * True if the rules of the route allow another attempt after these failures. The retry budget is
 * checked separately; see consumesRetryBudget().
 */
bool mayRetry(const route &route, const attempt_history &history);

/** True if the next attempt counts as a retry, because an earlier one reached a target. */
bool consumesRetryBudget(const attempt_history &history);

/**
 * Returns the status for the caller when no further attempt is made; only a request that certainly
 * has not run gets a status that says so.
 */
int finalStatus(const attempt_history &history, bool timedOut);

} // namespace quetzal
