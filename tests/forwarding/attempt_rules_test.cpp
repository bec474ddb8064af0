#include "forwarding/forwarding.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

route routeOf(request_kind kind, int maxAttempts, bool isResumable = false)
{
    return {.name = "r", .kind = kind, .maxAttempts = maxAttempts, .isResumable = isResumable};
}

} // namespace

TEST_CASE("retry rules and final statuses after failed attempts", "[forwarding]")
{
    const attempt_history none;
    const attempt_history lost = withFailure(none, attempt_failure::AnswerLost);
    const attempt_history refused = withFailure(none, attempt_failure::RefusedUnrun);
    const attempt_history unsent = withFailure(none, attempt_failure::NotSent);

    SECTION("a non-idempotent request is not retried once it may have run")
    {
        const route rule = routeOf(request_kind::NonIdempotent, 3);
        CHECK_FALSE(mayRetry(rule, lost));
        CHECK(mayRetry(rule, refused));
        CHECK(mayRetry(rule, unsent));
        CHECK_FALSE(mayRetry(rule, withFailure(refused, attempt_failure::AnswerLost)));
    }

    SECTION("a stream that is not resumable is treated like a non-idempotent request")
    {
        CHECK_FALSE(mayRetry(routeOf(request_kind::Stream, 2), lost));
        CHECK(mayRetry(routeOf(request_kind::Stream, 2, true), lost));
    }

    SECTION("an idempotent request runs on no more targets than its route allows")
    {
        const route rule = routeOf(request_kind::Idempotent, 2);
        CHECK(mayRetry(rule, lost));
        CHECK_FALSE(mayRetry(rule, withFailure(lost, attempt_failure::Failed)));
        CHECK_FALSE(mayRetry(routeOf(request_kind::Idempotent, 1), lost));
    }

    SECTION("retries after rejections and failed connections are limited")
    {
        const route rule = routeOf(request_kind::NonIdempotent, 1);
        CHECK_FALSE(mayRetry(rule, withFailure(refused, attempt_failure::RefusedUnrun)));
        attempt_history many;
        for (int failure = 0; failure < 4; ++failure)
            many = withFailure(many, attempt_failure::NotSent);
        CHECK_FALSE(mayRetry(rule, many));
    }

    SECTION("only a request that has not run gets a status that says so")
    {
        CHECK(finalStatus(refused, false) == 503);
        CHECK(finalStatus(unsent, true) == 503);
        CHECK(finalStatus(lost, false) == 502);
        CHECK(finalStatus(lost, true) == 504);
        CHECK(finalStatus(withFailure(refused, attempt_failure::AnswerLost), false) == 502);
    }

    SECTION("only an attempt that reached a target makes the next one a retry")
    {
        CHECK_FALSE(consumesRetryBudget(unsent));
        CHECK(consumesRetryBudget(refused));
        CHECK(consumesRetryBudget(lost));
    }
}
