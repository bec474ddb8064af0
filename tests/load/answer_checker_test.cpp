#include "bench/load/answer_checker.h"
#include "bench/load/fleet_reader.h"
#include "bench/load/load_plan.h"
#include "bench/load/load_settings.h"
#include "foundation/foundation.h"
#include "standins/common/completion_text.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace quetzal;

namespace {

std::string event(const std::string &content)
{
    const nlohmann::json choice = {{"delta", {{"content", content}}}};
    return "id: 0\ndata: " + nlohmann::json {{"choices", {choice}}}.dump() + "\n\n";
}

std::string events(int count)
{
    std::string text;
    for (int index = 0; index < count; ++index)
        text += event(standins::completionToken("hi", index));
    return text;
}

const std::string done = "data: [DONE]\n\n";
const std::string refusal
    = R"({"error":{"code":3002,"name":"TargetFailed","execution":"outcome_unknown"}})";

load_result check(const std::string &stream, bool ended = true)
{
    stream_checker checker("hi", 3);
    checker.add(stream);
    return checker.finish(ended);
}

} // namespace

SCENARIO("a streamed completion is classified by its tokens and its end")
{
    CHECK(check(events(3) + done) == load_result {load_outcome::Complete, 0, "", 3});
    CHECK(check(events(3) + done, false).outcome == load_outcome::Complete);
    CHECK(check(events(2) + done).outcome == load_outcome::Wrong);
    CHECK(check(events(4) + done).outcome == load_outcome::Wrong);
    CHECK(check(events(3)).outcome == load_outcome::Wrong);
    CHECK(check(events(2), false).outcome == load_outcome::Broken);
    CHECK(check(events(2) + event(" wrong") + done).outcome == load_outcome::Wrong);
    CHECK(check(events(3) + done + events(1)).outcome == load_outcome::Wrong);
    CHECK(check(events(2) + "event: error\ndata: " + refusal + "\n\n")
          == load_result {load_outcome::Refused, 3002, "outcome_unknown", 2});

    WHEN("it arrives in single bytes")
    {
        stream_checker checker("hi", 3);
        int tokens = 0;
        for (const char byte : events(3) + done)
            tokens += checker.add({&byte, 1});
        CHECK(tokens == 3);
        CHECK(checker.finish(true).outcome == load_outcome::Complete);
    }
}

SCENARIO("completions, plain answers and rejections are checked")
{
    const auto completion = [](const std::string &text) {
        const nlohmann::json choice = {{"message", {{"content", text}}}};
        return nlohmann::json {{"choices", {choice}}}.dump();
    };
    CHECK(checkCompletion(200, completion(standins::completionText("hi", 3)), "hi", 3).outcome
          == load_outcome::Complete);
    CHECK(checkCompletion(200, completion(standins::completionText("ho", 3)), "hi", 3).outcome
          == load_outcome::Wrong);
    CHECK(checkCompletion(502, refusal, "hi", 3).code == 3002);
    CHECK(checkCompletion(502, "bad gateway", "hi", 3).outcome == load_outcome::Wrong);

    nlohmann::json answer = {{"callerRequestId", "town/r1"},
                             {"method", "POST"},
                             {"path", "/bookings"},
                             {"bodyDigest", sha256Hex("abc")}};
    const auto plain = [&answer] {
        return checkPlainAnswer(200, answer.dump(), "town/r1", "POST", "/bookings", "abc").outcome;
    };
    CHECK(plain() == load_outcome::Complete);
    answer["callerRequestId"] = "town/r2";
    CHECK(plain() == load_outcome::Wrong);
}

SCENARIO("faulty settings are reported and the same seed gives the same requests")
{
    const load_settings_read_result reading = readLoadSettings(R"({
        "routers": [{"ip": "127.0.0.1", "port": 8080}, {"ip": "127.0.0.2", "port": 8080}],
        "document": "document.json",
        "workspaces": [{"name": "town", "key": "k", "flows": [{"ratePerSecond": 10, "routers": ["1"],
            "mix": [{"call": "streamedChat", "service": "s", "leastTokens": 8, "mostTokens": 64},
                    {"call": "plain", "service": "p", "path": "/b/{n}", "weight": 0}]}]}]
    })");
    REQUIRE(reading.faults.empty());
    load_plan first(reading.settings.workspaces.front(), 0, 2, 7);
    load_plan second(reading.settings.workspaces.front(), 0, 2, 7);
    absl::Duration previous;
    for (int count = 0; count < 50; ++count) {
        const planned_request request = first.next();
        CHECK(request == second.next());
        CHECK(request.router == 1);
        CHECK(request.at > previous);
        CHECK(request.item.call == call_type::StreamedChat);
        CHECK(request.tokens >= 8);
        CHECK(request.tokens <= 64);
        previous = request.at;
    }

    const load_settings_read_result faulty = readLoadSettings(R"({
        "routers": [{"ip": "127.0.0.1", "port": 8080}], "document": "d", "extra": 1,
        "workspaces": [{"name": "town", "key": "k", "flows": [{"routers": ["4"], "mix": []}]}]})");
    CHECK(faulty.faults.size() == 3);
}

SCENARIO("the control byte metrics are added up")
{
    CHECK(controlBytesInMetrics("# TYPE quetzal_control_sent_bytes gauge\n"
                                "quetzal_control_sent_bytes 100\n"
                                "quetzal_control_received_bytes{vm=\"a\"} 20.5\n"
                                "quetzal_other_bytes 7\n")
          == 120.5);
}
