#include "forwarding/request/attempt_rules.h"

namespace quetzal {

namespace {

/** The number of attempts without a byte sent after which the request is rejected. */
constexpr int maxUnsentAttempts = 4;
/** The number of refusals without execution after which the request is rejected. */
constexpr int maxRefusals = 2;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

} // namespace

std::string toText(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::NotSent:
        return "not_sent";
    case attempt_failure::RefusedUnrun:
        return "refused_unrun";
    case attempt_failure::AnswerLost:
        return "answer_lost";
    case attempt_failure::Failed:
        return "failed";
    }
    return "";
}

attempt_history withFailure(const attempt_history &history, attempt_failure failure)
{
    attempt_history next = history;
    switch (failure) {
    case attempt_failure::NotSent:
        ++next.unsent;
        break;
    case attempt_failure::RefusedUnrun:
        ++next.refused;
        break;
    case attempt_failure::AnswerLost:
    case attempt_failure::Failed:
        ++next.mayHaveRun;
        break;
    }
    return next;
}

bool mayRetry(const route &route, const attempt_history &history)
{
    if (history.unsent >= maxUnsentAttempts || history.refused >= maxRefusals)
        return false;
    if (history.mayHaveRun == 0)
        return true;
    return route.isRepeatable() && history.mayHaveRun < route.maxAttempts;
}

bool consumesRetryBudget(const attempt_history &history)
{
    return history.refused + history.mayHaveRun > 0;
}

int finalStatus(const attempt_history &history, bool timedOut)
{
    if (history.isNotExecuted())
        return statusUnavailable;
    return timedOut ? statusGatewayTimeout : statusBadGateway;
}

} // namespace quetzal
