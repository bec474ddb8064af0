#include "forwarding/forwarding.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <variant>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

std::shared_ptr<const route_table> routes()
{
    route_table_options options {.version = 1};
    const auto add = [&](const std::string &name, request_kind kind, bool isResumable,
                         absl::Duration timeout = absl::Seconds(3)) {
        options.routes.push_back({.name = name,
                                  .host = "h",
                                  .pathPrefix = "/" + name + "/",
                                  .kind = kind,
                                  .services = {{.service = "s"}},
                                  .timeout = timeout,
                                  .maxAttempts = 2,
                                  .isPublic = true,
                                  .isResumable = isResumable});
    };
    add("safe", request_kind::Idempotent, false);
    add("once", request_kind::NonIdempotent, false);
    add("stream", request_kind::Stream, false);
    add("resume", request_kind::Stream, true);
    add("long", request_kind::NonIdempotent, false, absl::Seconds(30));
    add("longSafe", request_kind::Idempotent, false, absl::Seconds(30));
    options.services = {{.name = "s"}};
    return std::make_shared<const route_table>(std::move(options));
}

/** A router with two targets. */
struct router
{
    router()
        : node({.dataCentre = "north",
                .routers = {.self = "vm", .members = {"vm"}},
                .fleet = {.retries = {.ratio = 0.2, .allowance = 20.0}}})
    {
        node.setRoutes(routes());
        for (const char *id : {"e1", "e2"})
            node.applyTarget({.id = id, .service = "s", .slots = 8, .startedAtMs = 1}, true, start);
    }

    request_lifecycle request(const std::string &routeName)
    {
        return {node,
                ++number,
                {.id = "r", .method = "POST", .host = "h", .path = "/" + routeName + "/x"},
                start};
    }

    forwarding_node node;
    std::uint64_t number = 0;
};

/** Returns the first action of a type; null if there is none. */
template <typename Action>
const Action *find(const request_actions &actions)
{
    for (const request_action &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

int ownStatus(const request_actions &actions)
{
    const auto *answer = find<answer_locally>(actions);
    return answer == nullptr ? 0 : answer->reason.status;
}

std::string passedText(const request_actions &actions)
{
    std::string text;
    for (const request_action &action : actions) {
        if (const auto *part = std::get_if<relay_body>(&action))
            text += part->text;
    }
    return text;
}

const answer_description goodHead {.requestId = "r", .status = 200, .isSigned = true};
const answer_description failedHead {.requestId = "r", .status = 500, .isSigned = true};
const answer_description refusal {.requestId = "r", .status = 503, .isNotExecuted = true};
const exchange_failure lost {.isSent = true, .reason = "broken"};

} // namespace

TEST_CASE("a request that may run at most once", "[life]")
{
    router testRouter;
    request_lifecycle request = testRouter.request("once");
    const request_actions first = request.start(start);
    REQUIRE(find<send_request>(first) != nullptr);
    CHECK_FALSE(find<send_request>(first)->isRepeatable);

    SECTION("is answered only when the target's answer is complete")
    {
        CHECK(request.onAnswerHead(goodHead, start).disposition == answer_disposition::Accept);
        CHECK(find<relay_answer>(request.onAnswerBody("half ", start)) == nullptr);
        request.onAnswerBody("and half", start);
        const request_actions last = request.onAnswerComplete(start);
        REQUIRE(find<relay_answer>(last) != nullptr);
        CHECK(find<relay_answer>(last)->body == "half and half");
        CHECK(request.isFinished());
        CHECK(request.onDeadline(start).empty());
        CHECK(request.onCallerDisconnected(start).empty());
    }

    SECTION("is not retried after its answer was lost, and is not reported as not run")
    {
        const request_actions after = request.onSendFailed(lost, start);
        CHECK(find<send_request>(after) == nullptr);
        CHECK(ownStatus(after) == 502);
    }

    SECTION("is sent to another target when no byte reached the first")
    {
        const request_actions after
            = request.onSendFailed({.isSent = false, .reason = "connect_failed"}, start);
        REQUIRE(find<send_request>(after) != nullptr);
        CHECK(find<send_request>(after)->destination.target
              != find<send_request>(first)->destination.target);
    }

    SECTION("is sent to another target when the first rejected it without running it")
    {
        CHECK(request.onAnswerHead(refusal, start).disposition == answer_disposition::Accept);
        const request_actions after = request.onAnswerComplete(start);
        REQUIRE(find<send_request>(after) != nullptr);

        SECTION("and is rejected as not run when the second rejects it too")
        {
            request.onAnswerHead(refusal, start);
            const request_actions last = request.onAnswerComplete(start);
            CHECK(ownStatus(last) == 503);
            CHECK(find<answer_locally>(last)->reason.retryAfter.has_value());
        }

        SECTION("and is not reported as not run when the answer of the second is lost")
        {
            CHECK(ownStatus(request.onSendFailed(lost, start)) == 502);
        }
    }

    SECTION("does not relay a status that implies no execution unless the target states it")
    {
        request.onAnswerHead({.requestId = "r", .status = 503, .isSigned = true}, start);
        CHECK(ownStatus(request.onAnswerComplete(start)) == 502);
    }

    SECTION("skips the answer to another request")
    {
        CHECK(request.onAnswerHead({.requestId = "other", .status = 200, .isSigned = true}, start)
                  .disposition
              == answer_disposition::Skip);
        CHECK(request.onAnswerHead(goodHead, start).disposition == answer_disposition::Accept);
    }

    SECTION("abandons a successful answer without a signature or with an encoded body")
    {
        CHECK(request.onAnswerHead({.requestId = "r", .status = 200}, start).disposition
              == answer_disposition::Abandon);
        CHECK(request
                  .onAnswerHead(
                      {.requestId = "r", .status = 200, .isSigned = true, .isEncoded = true}, start)
                  .disposition
              == answer_disposition::Abandon);
    }

    SECTION("cancels the target at its deadline, and is not reported as not run")
    {
        const request_actions last = request.onDeadline(start + absl::Seconds(3));
        REQUIRE(find<release_target>(last) != nullptr);
        CHECK(find<release_target>(last)->isCancelled);
        CHECK(ownStatus(last) == 504);
    }

    SECTION("cancels the target when its caller disconnects, and sends no answer")
    {
        const request_actions last = request.onCallerDisconnected(start);
        REQUIRE(find<release_target>(last) != nullptr);
        CHECK(find<release_target>(last)->isCancelled);
        CHECK(find<answer_locally>(last) == nullptr);
    }
}

TEST_CASE("an answer that does not say that it did not run is no refusal", "[life]")
{
    router testRouter;
    request_lifecycle request = testRouter.request("once");
    request.start(start);

    SECTION("whatever its status")
    {
        const int status = GENERATE(408, 429, 503);
        request.onAnswerHead({.requestId = "r", .status = status, .isSigned = true}, start);
        const request_actions last = request.onAnswerComplete(start);
        CHECK(find<send_request>(last) == nullptr);
        CHECK(ownStatus(last) == 502);
        CHECK_FALSE(find<answer_locally>(last)->isNotExecuted);
    }

    SECTION("nor one without an identifier, where an earlier request may have been refused")
    {
        const answer_description unnamed {.status = 503, .isNotExecuted = true};
        CHECK(request.onAnswerHead(unnamed, start).disposition == answer_disposition::Skip);
        CHECK(request.onAnswerHead(goodHead, start).disposition == answer_disposition::Accept);
        request.onAnswerBody("whole", start);
        CHECK(find<relay_answer>(request.onAnswerComplete(start)) != nullptr);
    }

    SECTION("but one without an identifier on a new connection can only be its own")
    {
        const answer_description unnamed {
            .status = 503, .isNotExecuted = true, .isOnNewConnection = true};
        CHECK(request.onAnswerHead(unnamed, start).disposition == answer_disposition::Accept);
        CHECK(find<send_request>(request.onAnswerComplete(start)) != nullptr);
    }
}

TEST_CASE("an idempotent request", "[life]")
{
    router testRouter;
    request_lifecycle request = testRouter.request("safe");
    request.start(start);

    SECTION("is retried after a lost answer, at as many targets as its route allows")
    {
        REQUIRE(find<send_request>(request.onSendFailed(lost, start)) != nullptr);
        const request_actions last = request.onSendFailed(lost, start);
        CHECK(find<send_request>(last) == nullptr);
        CHECK(ownStatus(last) == 502);
    }

    SECTION("relays the server error of the second target when that fails too")
    {
        request.onAnswerHead(failedHead, start);
        REQUIRE(find<send_request>(request.onAnswerComplete(start)) != nullptr);
        request.onAnswerHead(failedHead, start);
        request.onAnswerBody("why", start);
        const request_actions last = request.onAnswerComplete(start);
        REQUIRE(find<relay_answer>(last) != nullptr);
        CHECK(find<relay_answer>(last)->body == "why");
    }

    SECTION("cuts off a target whose error never ends, and is retried")
    {
        request.onAnswerHead({.requestId = "r", .status = 500}, start);
        const std::string part(65536, 'x');
        request_actions actions;
        for (int number = 0; number < 100 && find<send_request>(actions) == nullptr; ++number)
            actions = request.onAnswerBody(part, start);
        const auto *released = find<release_target>(actions);
        REQUIRE(released != nullptr);
        CHECK(released->isCancelled);
        const auto *next = find<send_request>(actions);
        REQUIRE(next != nullptr);
        CHECK(next->destination.target != released->target);
    }

    SECTION("is not retried after its deadline")
    {
        const request_actions last = request.onSendFailed(lost, start + absl::Seconds(4));
        CHECK(find<send_request>(last) == nullptr);
        CHECK(request.isFinished());
    }
}

TEST_CASE("an event stream", "[life]")
{
    router testRouter;

    SECTION("that is not resumable is aborted when its target fails")
    {
        request_lifecycle request = testRouter.request("stream");
        request.start(start);
        request.onAnswerHead(goodHead, start);
        const request_actions first = request.onAnswerBody("id: 1\n\nid: ", start);
        CHECK(find<begin_stream>(first) != nullptr);
        CHECK(passedText(first) == "id: 1\n\nid: ");
        const request_actions last = request.onSendFailed(lost, start);
        CHECK(find<abort_answer>(last) != nullptr);
        CHECK(find<answer_locally>(last) == nullptr);
    }

    SECTION("that is resumable continues after its last complete event")
    {
        request_lifecycle request = testRouter.request("resume");
        request.start(start);
        request.onAnswerHead(goodHead, start);
        CHECK(passedText(request.onAnswerBody("id: 1\n\nid: ", start)) == "id: 1\n\n");
        const request_actions again = request.onSendFailed(lost, start);
        REQUIRE(find<send_request>(again) != nullptr);
        CHECK(find<send_request>(again)->lastEventId == "1");

        request.onAnswerHead(goodHead, start);
        const request_actions next = request.onAnswerBody("id: 2\n\n", start);
        CHECK(find<begin_stream>(next) == nullptr);
        CHECK(passedText(next) == "id: 2\n\n");
        const request_actions last = request.onAnswerComplete(start);
        CHECK(find<end_stream>(last) != nullptr);
    }

    SECTION("is aborted when the target that should continue it fails")
    {
        request_lifecycle request = testRouter.request("resume");
        request.start(start);
        request.onAnswerHead(goodHead, start);
        request.onAnswerBody("id: 1\n\n", start);
        request.onSendFailed(lost, start);
        request.onAnswerHead(failedHead, start);
        CHECK(find<abort_answer>(request.onAnswerComplete(start)) != nullptr);
    }
}

TEST_CASE("a stream that ends inside an event is broken, however its answer was framed", "[life]")
{
    router testRouter;
    const bool endsWithConnection = GENERATE(true, false);
    CAPTURE(endsWithConnection);
    answer_description head = goodHead;
    head.endsWithConnection = endsWithConnection;

    SECTION("one that is not resumable is aborted")
    {
        const std::string text = GENERATE("id: 1\n\nid: 2\nda", "id: 1\n", "id: 1\r\n\r\nx");
        request_lifecycle request = testRouter.request("stream");
        request.start(start);
        request.onAnswerHead(head, start);
        for (const char byte : text)
            request.onAnswerBody(std::string(1, byte), start);
        const request_actions last = request.onAnswerComplete(start);
        CHECK(find<abort_answer>(last) != nullptr);
        CHECK(find<end_stream>(last) == nullptr);
        REQUIRE(find<release_target>(last) != nullptr);
        CHECK(find<release_target>(last)->isCancelled);
        REQUIRE(find<record_attempt_failed>(last) != nullptr);
        CHECK(find<record_attempt_failed>(last)->reason == "ended_in_event");
    }
    SECTION("one that is resumable continues at another target")
    {
        request_lifecycle request = testRouter.request("resume");
        request.start(start);
        request.onAnswerHead(head, start);
        request.onAnswerBody("id: 1\n\nid: 2\nda", start);
        const request_actions next = request.onAnswerComplete(start);
        CHECK(passedText(next).empty());
        REQUIRE(find<send_request>(next) != nullptr);
        CHECK(find<send_request>(next)->lastEventId == "1");
    }
    SECTION("one that ends after an event is complete")
    {
        const std::string route = GENERATE("stream", "resume");
        const std::string text = GENERATE("id: 1\n\nid: 2\ndata: x\n\n", "id: 1\r\n\r\n", "");
        request_lifecycle request = testRouter.request(route);
        request.start(start);
        request.onAnswerHead(head, start);
        if (!text.empty())
            request.onAnswerBody(text, start);
        const request_actions last = request.onAnswerComplete(start);
        CHECK(find<end_stream>(last) != nullptr);
        CHECK(find<abort_answer>(last) == nullptr);
    }
}

TEST_CASE("a request to a router that is shutting down is rejected with a retry time", "[life]")
{
    router testRouter;
    testRouter.node.beginShutdown(shutdown_schedule(start, absl::Seconds(8)));
    request_lifecycle request = testRouter.request("once");
    const request_actions actions = request.start(start + absl::Milliseconds(2800));
    CHECK(ownStatus(actions) == 503);
    CHECK(find<answer_locally>(actions)->reason.retryAfter.has_value());
    CHECK(request.isFinished());
}

TEST_CASE("a request that no target ran does not count as served to its workspace", "[life]")
{
    router testRouter;
    request_lifecycle request(testRouter.node, 1,
                              {.id = "r",
                               .method = "POST",
                               .host = "h",
                               .path = "/once/x",
                               .prompt = {{.id = 7, .tokens = 400}, {.id = 8, .tokens = 100}}},
                              start);
    const auto served = [&] {
        return testRouter.node.makeDigest({}, start).workspaces.front().servedTokens;
    };
    REQUIRE(find<send_request>(request.start(start)) != nullptr);
    REQUIRE(served() == 500);

    SECTION("because no connection was left")
    {
        while (!request.isFinished())
            request.onNoConnection(start);
        CHECK(served() == 0);
        CHECK(testRouter.node.makeDigest({}, start).workspaces.front().requestedTokens == 500);
    }

    SECTION("because all targets refused it")
    {
        while (!request.isFinished()) {
            request.onAnswerHead(refusal, start);
            request.onAnswerComplete(start);
        }
        CHECK(served() == 0);
    }

    SECTION("unless its answer was lost, so that it may have run")
    {
        request.onSendFailed(lost, start);
        REQUIRE(request.isFinished());
        CHECK(served() == 500);
    }
}

TEST_CASE("a target that wants no more requests gets none", "[life]")
{
    router testRouter;
    const auto sentTo = [&](const request_actions &actions) {
        const auto *sent = find<send_request>(actions);
        return sent == nullptr ? std::string() : sent->destination.target;
    };
    request_lifecycle request = testRouter.request("once");
    const std::string first = sentTo(request.start(start));
    REQUIRE_FALSE(first.empty());

    SECTION("because it leaves, as its answer says")
    {
        request.onAnswerHead(
            {.requestId = "r", .status = 200, .isSigned = true, .isTargetLeaving = true}, start);
        request.onAnswerComplete(start);
        for (int number = 0; number < 4; ++number) {
            request_lifecycle next = testRouter.request("once");
            const std::string target = sentTo(next.start(start + absl::Milliseconds(700) * number));
            CHECK_FALSE(target.empty());
            CHECK(target != first);
        }
    }

    SECTION("before the time that it named in a refusal")
    {
        answer_description refusalWithTime = refusal;
        refusalWithTime.retryAfter = absl::Seconds(2);
        request.onAnswerHead(refusalWithTime, start);
        const std::string second = sentTo(request.onAnswerComplete(start));
        CHECK(second != first);
        request.onAnswerHead(refusalWithTime, start);
        CHECK(ownStatus(request.onAnswerComplete(start)) == 503);

        request_lifecycle early = testRouter.request("once");
        const request_actions rejected = early.start(start + absl::Milliseconds(600));
        CHECK(ownStatus(rejected) == 503);
        CHECK(find<answer_locally>(rejected)->reason.retryAfter == absl::Milliseconds(1400));

        request_lifecycle late = testRouter.request("once");
        CHECK_FALSE(sentTo(late.start(start + absl::Seconds(2))).empty());
    }

    SECTION("unless the answer belongs to another request")
    {
        answer_description other = refusal;
        other.requestId = "another";
        other.retryAfter = absl::Seconds(2);
        request.onAnswerHead(other, start);
        CHECK(testRouter.node.directory().mayReceive(first, start));
    }
}

TEST_CASE("a request that a busy router turns away counts only where its caller asks next",
          "[life]")
{
    router testRouter;
    request_lifecycle request(testRouter.node, 1,
                              {.id = "r",
                               .method = "POST",
                               .host = "h",
                               .path = "/once/x",
                               .prompt = {{.id = 7, .tokens = 400}, {.id = 8, .tokens = 100}}},
                              start);
    while (!testRouter.node.rejectIfOverloaded()) { }
    const request_actions actions = request.start(start);
    CHECK(ownStatus(actions) == 503);
    REQUIRE(find<answer_locally>(actions) != nullptr);
    CHECK(find<answer_locally>(actions)->reason.code == result_code::RouterOverloaded);
    CHECK(find<answer_locally>(actions)->reason.retryAfter <= absl::Milliseconds(100));
    CHECK(testRouter.node.makeDigest({}, start).workspaces.empty());
}

TEST_CASE("a request to a router that is shutting down", "[life]")
{
    router testRouter;
    const shutdown_schedule schedule(start, absl::Seconds(8));
    const absl::Time due = schedule.answersDueAt();
    const auto requestAt = [&](const std::string &routeName, absl::Time arrivedAt) {
        return request_lifecycle {
            testRouter.node,
            ++testRouter.number,
            {.id = "r", .method = "POST", .host = "h", .path = "/" + routeName + "/x"},
            arrivedAt};
    };
    /** Completes requests that each take this long. */
    const auto answerEach = [&](const std::string &routeName, absl::Duration time) {
        for (int round = 0; round < 20; ++round) {
            request_lifecycle request = requestAt(routeName, start - time);
            request.start(start - time);
            request.onAnswerHead(goodHead, start);
            request.onAnswerComplete(start);
            REQUIRE(request.isFinished());
        }
    };

    SECTION("is sent to a target while the load balancer sends new connections")
    {
        answerEach("once", absl::Milliseconds(300));
        testRouter.node.beginShutdown(schedule);
        for (const int sinceMs : {0, 1000, 2000, 2790}) {
            const absl::Time now = start + absl::Milliseconds(sinceMs);
            request_lifecycle request = requestAt("once", now);
            CHECK(find<send_request>(request.start(now)) != nullptr);
            request.onAnswerHead(goodHead, now + absl::Milliseconds(300));
            CHECK(find<relay_answer>(request.onAnswerComplete(now + absl::Milliseconds(300))));
        }
        request_lifecycle late = requestAt("once", schedule.acceptsUntil());
        CHECK(ownStatus(late.start(schedule.acceptsUntil())) == 503);
    }

    SECTION("is rejected at once if such answers take longer than the time that is left")
    {
        answerEach("long", absl::Seconds(6));
        testRouter.node.beginShutdown(schedule);
        request_lifecycle inTime = requestAt("long", start + absl::Seconds(1));
        CHECK(find<send_request>(inTime.start(start + absl::Seconds(1))) != nullptr);
        request_lifecycle late = requestAt("long", start + absl::Seconds(2));
        const request_actions actions = late.start(start + absl::Seconds(2));
        CHECK(find<send_request>(actions) == nullptr);
        CHECK(ownStatus(actions) == 503);
        CHECK(find<answer_locally>(actions)->reason.retryAfter.has_value());

        AND_WHEN("its caller waits no longer than that, it is served")
        {
            request_lifecycle brief(testRouter.node, ++testRouter.number,
                                    {.id = "r",
                                     .method = "POST",
                                     .host = "h",
                                     .path = "/long/x",
                                     .callerTimeout = absl::Seconds(4)},
                                    start + absl::Seconds(2));
            CHECK(find<send_request>(brief.start(start + absl::Seconds(2))) != nullptr);
        }
    }

    SECTION("is sent with a deadline no later than the end of the shutdown")
    {
        testRouter.node.beginShutdown(schedule);
        request_lifecycle request = requestAt("long", start + absl::Seconds(2));
        const request_actions actions = request.start(start + absl::Seconds(2));
        REQUIRE(find<send_request>(actions) != nullptr);
        CHECK(find<send_request>(actions)->timeLeft == due - (start + absl::Seconds(2)));
    }

    SECTION("is sent again only if the answer can be complete in time")
    {
        request_lifecycle request = requestAt("longSafe", start);
        REQUIRE(find<send_request>(request.start(start)) != nullptr);
        testRouter.node.beginShutdown(schedule);

        SECTION("after a target worked on it for longer than that")
        {
            const request_actions after = request.onSendFailed(lost, start + absl::Seconds(5));
            CHECK(find<send_request>(after) == nullptr);
            CHECK(ownStatus(after) == 502);
        }

        SECTION("after a target failed it")
        {
            request.onAnswerHead(failedHead, start + absl::Seconds(5));
            const request_actions after = request.onAnswerComplete(start + absl::Seconds(5));
            CHECK(find<send_request>(after) == nullptr);
            CHECK(find<relay_answer>(after) != nullptr);
        }

        SECTION("after a target refused it, and the caller learns that it has not run")
        {
            request.onAnswerHead(refusal, start + absl::Seconds(7));
            const request_actions after = request.onAnswerComplete(start + absl::Seconds(7));
            CHECK(find<send_request>(after) == nullptr);
            CHECK(ownStatus(after) == 503);
            CHECK(find<answer_locally>(after)->reason.code == result_code::RouterStopping);
        }

        SECTION("while there is time")
        {
            const request_actions after = request.onSendFailed(lost, start + absl::Seconds(2));
            REQUIRE(find<send_request>(after) != nullptr);
            CHECK(find<send_request>(after)->timeLeft == due - (start + absl::Seconds(2)));
        }
    }

    SECTION("is answered when answers are due, without a promise that it has not run")
    {
        for (const std::string routeName : {"longSafe", "long", "stream", "resume"}) {
            CAPTURE(routeName);
            request_lifecycle request = requestAt(routeName, start);
            request.start(start);
            const request_actions actions = request.onShutdownDue(due);
            REQUIRE(find<release_target>(actions) != nullptr);
            CHECK(find<release_target>(actions)->isCancelled);
            CHECK(ownStatus(actions) == 502);
            CHECK_FALSE(find<answer_locally>(actions)->isNotExecuted);
            CHECK(request.isFinished());
            CHECK(request.onShutdownDue(due).empty());
        }
    }

    SECTION("breaks off a stream that has begun, so that it does not look complete")
    {
        for (const std::string routeName : {"stream", "resume"}) {
            CAPTURE(routeName);
            request_lifecycle request = requestAt(routeName, start);
            request.start(start);
            request.onAnswerHead(goodHead, start);
            REQUIRE_FALSE(passedText(request.onAnswerBody("id: 1\ndata: a\n\n", start)).empty());
            const request_actions actions = request.onShutdownDue(due);
            CHECK(find<abort_answer>(actions) != nullptr);
            CHECK(find<end_stream>(actions) == nullptr);
            CHECK(find<answer_locally>(actions) == nullptr);
        }
    }
}
