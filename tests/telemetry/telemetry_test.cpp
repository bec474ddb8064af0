#include "telemetry/telemetry.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzal;
using nlohmann::json;

namespace {

const absl::Time someTime = absl::FromUnixMillis(1'796'360'400'123);

std::vector<std::string> linesOf(const std::string &path)
{
    std::ifstream stream(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

SCENARIO("Log lines are JSON objects")
{
    GIVEN("a line with a request, a trace and typed fields")
    {
        const log_line line {.time = someTime,
                             .level = log_level::Warning,
                             .program = "quetzal-router",
                             .vm = "vm-1",
                             .message = "answer cut",
                             .context = {.requestId = "r1", .traceId = "t1"},
                             .fields = {{"events", std::int64_t {3}},
                                        {"whole", false},
                                        {"seconds", 1.5},
                                        {"target", std::string("engine-1")}}};
        const json object = json::parse(toJson(line));
        THEN("each part is a member with its own type")
        {
            CHECK(object["time"] == "2026-12-04T05:00:00.123000Z");
            CHECK(object["level"] == "warning");
            CHECK(object["program"] == "quetzal-router");
            CHECK(object["vm"] == "vm-1");
            CHECK(object["message"] == "answer cut");
            CHECK(object["requestId"] == "r1");
            CHECK(object["traceId"] == "t1");
            CHECK(object["events"] == 3);
            CHECK(object["whole"] == false);
            CHECK(object["seconds"] == 1.5);
            CHECK(object["target"] == "engine-1");
        }
    }
    GIVEN("fields whose names indicate a secret or content of a caller")
    {
        for (const std::string name : {"key", "workspaceKey", "Authorization", "operator_token",
                                       "prompt", "requestBody", "messageContent"}) {
            const log_line line {.fields = {{name, std::string("confidential")}}};
            CHECK(toJson(line).find("confidential") == std::string::npos);
        }
    }
    GIVEN("text with line breaks, quotes and invalid UTF-8")
    {
        const log_line line {.message = "a\n\"b\"\xff",
                             .fields = {{"long", std::string(100'000, 'x')}}};
        const std::string text = toJson(line);
        THEN("the output is one valid line of bounded length")
        {
            CHECK(text.find('\n') == std::string::npos);
            CHECK(json::accept(text));
            CHECK(text.size() < 10'000);
        }
    }
    GIVEN("a field with the name of a fixed member")
    {
        const log_line line {.level = log_level::Error,
                             .fields = {{"level", std::string("debug")}}};
        CHECK(json::parse(toJson(line))["level"] == "error");
    }
}

SCENARIO("A logger writes only lines of the configured level or higher")
{
    std::mutex mutex;
    std::vector<std::string> lines;
    {
        logger log({.program = "test",
                    .vm = "vm-1",
                    .level = log_level::Warning,
                    .writeLine = [&](const std::string &line) {
                        const std::lock_guard<std::mutex> lock(mutex);
                        lines.push_back(line);
                    }});
        log.debug("no");
        log.info("no");
        log.warning("yes {} braces stay", {{"count", std::int64_t {1}}});
        log.error("yes", {}, {.requestId = "r1"});
    }
    REQUIRE(lines.size() == 2);
    CHECK(json::parse(lines[0])["message"] == "yes {} braces stay");
    CHECK(json::parse(lines[1])["requestId"] == "r1");
    CHECK(parseLogLevel("warning") == log_level::Warning);
    CHECK(!parseLogLevel("loud").has_value());
}

SCENARIO("Metrics in Prometheus text")
{
    metric_registry registry;

    SECTION("counters and gauges with escaped labels")
    {
        registry.counterFor("requests_total", "Requests.", {{"workspace", "a\"b\\c\nd"}}).add(3);
        registry.gaugeFor("waiting", "Waiting requests.").set(2.5);
        const std::string text = registry.text();
        CHECK(text.find("# TYPE requests_total counter\n") != std::string::npos);
        CHECK(text.find("requests_total{workspace=\"a\\\"b\\\\c\\nd\"} 3\n") != std::string::npos);
        CHECK(text.find("# HELP waiting Waiting requests.\n") != std::string::npos);
        CHECK(text.find("\nwaiting 2.5\n") != std::string::npos);
    }
    SECTION("the same name and labels return the same instrument")
    {
        registry.counterFor("requests_total", "Requests.").add();
        registry.counterFor("requests_total", "Requests.").add();
        CHECK(registry.counterFor("requests_total", "Requests.").value() == 2);
    }
    SECTION("a histogram's buckets are cumulative and end at infinity")
    {
        latency_histogram &histogram = registry.histogramFor("wait_seconds", "Wait.");
        histogram.record(absl::ZeroDuration());
        histogram.record(absl::Milliseconds(2));
        histogram.record(absl::Milliseconds(2));
        histogram.record(absl::Hours(10));
        std::uint64_t previous = 0;
        for (const histogram_bucket &bucket : histogram.buckets()) {
            CHECK(bucket.cumulativeCount >= previous);
            previous = bucket.cumulativeCount;
        }
        CHECK(histogram.buckets().front().cumulativeCount == 1);
        CHECK(histogram.count() == 4);
        CHECK(histogram.quantile(0.5) >= 0.002);
        CHECK(histogram.quantile(0.5) < 0.004);
        const std::string text = registry.text();
        CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
        CHECK(text.find("wait_seconds_count 4\n") != std::string::npos);
    }
    SECTION("labels beyond the limit share one series")
    {
        constexpr std::size_t extra = 10;
        for (std::size_t index = 0; index < metric_registry::maxSeriesPerMetric + extra; ++index)
            registry.counterFor("many_total", "Many.", {{"workspace", std::to_string(index)}})
                .add();
        const std::string text = registry.text();
        CHECK(text.find("many_total{overflow=\"true\"} 10\n") != std::string::npos);
    }
    SECTION("concurrent updates from several threads are all counted")
    {
        constexpr int threadCount = 4;
        constexpr int perThread = 5000;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int index = 0; index < threadCount; ++index) {
            threads.emplace_back([&registry] {
                for (int round = 0; round < perThread; ++round) {
                    registry.counterFor("shared_total", "Shared.").add();
                    registry.histogramFor("shared_seconds", "Shared.").record(absl::Seconds(1));
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        CHECK(registry.counterFor("shared_total", "").value() == threadCount * perThread);
        CHECK(registry.histogramFor("shared_seconds", "").count() == threadCount * perThread);
        CHECK(registry.histogramFor("shared_seconds", "").sumSeconds()
              == Approx(threadCount * perThread));
    }
}

SCENARIO("W3C trace contexts")
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    SECTION("a valid header is parsed and formatted unchanged")
    {
        const auto context = parseTraceparent(header);
        REQUIRE(context.has_value());
        CHECK(context->sampled);
        CHECK(toTraceparent(*context) == header);
    }
    SECTION("malformed headers are rejected")
    {
        for (const std::string malformed :
             {"", "00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
              "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
              "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
              "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
              "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
              "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra",
              "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0x"})
            CHECK(!parseTraceparent(malformed).has_value());
    }
    SECTION("a later version may contain further fields")
    {
        CHECK(parseTraceparent("01" + header.substr(2) + "-more").has_value());
    }
    SECTION("generated ids are valid and unique")
    {
        random_source random(1);
        std::set<std::string> ids;
        for (int index = 0; index < 100; ++index) {
            const trace_context made {.traceId = makeTraceId(random), .spanId = makeSpanId(random)};
            CHECK(parseTraceparent(toTraceparent(made)) == made);
            ids.insert(made.traceId);
        }
        CHECK(ids.size() == 100);
    }
    SECTION("about the configured fraction of traces is sampled")
    {
        random_source random(2);
        int sampled = 0;
        for (int index = 0; index < 1000; ++index)
            sampled += isTraceSampled(makeTraceId(random), 0.25) ? 1 : 0;
        CHECK(sampled > 200);
        CHECK(sampled < 300);
        CHECK(!isTraceSampled("t", 0.0));
        CHECK(isTraceSampled("t", 1.0));
    }
}

SCENARIO("Spans are written as OTLP/JSON lines")
{
    std::string path = "/tmp/quetzal-traces-XXXXXX";
    close(mkstemp(path.data()));
    const tracer_options options {
        .resource = {.program = "quetzal-router", .vm = "vm-1"}, .file = path, .seed = 7};

    GIVEN("a parent and a child that failed")
    {
        std::string parentSpan;
        {
            tracer traces(options);
            span parent = traces.begin("request", span_kind::Server, std::nullopt, someTime);
            span child = traces.begin("target call", span_kind::Client, parent.context(), someTime);
            child.setAttribute("attempt", std::int64_t {1});
            child.setError("connection reset");
            child.end(someTime + absl::Milliseconds(5));
            parentSpan = parent.context().spanId;
        }
        std::vector<json> spans;
        for (const std::string &line : linesOf(path)) {
            const json request = json::parse(line);
            for (const json &item : request["resourceSpans"][0]["scopeSpans"][0]["spans"])
                spans.push_back(item);
        }
        REQUIRE(spans.size() == 2);
        CHECK(spans[0]["name"] == "target call");
        CHECK(spans[0]["parentSpanId"] == parentSpan);
        CHECK(spans[0]["kind"] == 3);
        CHECK(spans[0]["startTimeUnixNano"] == "1796360400123000000");
        CHECK(spans[0]["endTimeUnixNano"] == "1796360400128000000");
        CHECK(spans[0]["attributes"][0]["value"]["intValue"] == "1");
        CHECK(spans[0]["status"]["code"] == 2);
        CHECK(spans[1]["traceId"] == spans[0]["traceId"]);
        CHECK(!spans[1].contains("parentSpanId"));
    }
    GIVEN("a sampled fraction of zero")
    {
        tracer_options none = options;
        none.sampledFraction = 0.0;
        {
            tracer traces(none);
            const span unsampled = traces.begin("x", span_kind::Server, std::nullopt, someTime);
            CHECK(!unsampled.context().sampled);
        }
        CHECK(linesOf(path).empty());
    }
    GIVEN("a queue without capacity")
    {
        tracer_options tight = options;
        tight.maxQueuedSpans = 0;
        tracer traces(tight);
        traces.begin("x", span_kind::Server, std::nullopt, someTime).end(someTime);
        CHECK(traces.droppedCount() == 1);
    }
    GIVEN("a file that cannot be opened")
    {
        tracer_options wrong = options;
        wrong.file = "/nonexistent/folder/traces.jsonl";
        CHECK_THROWS_AS(tracer(wrong), std::system_error);
    }
    std::remove(path.c_str());
}
