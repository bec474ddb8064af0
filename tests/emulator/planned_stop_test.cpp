#include "emulator/emulator.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr absl::Duration longTimeout = absl::Seconds(30);
constexpr absl::Duration shortWork = absl::Milliseconds(50);
constexpr absl::Duration longWork = absl::Seconds(20);
constexpr absl::Duration requestInterval = absl::Milliseconds(40);
constexpr absl::Duration timeBeforeStop = absl::Seconds(3);
/** Time after the start of a stop in which the load balancer may send new connections. */
constexpr absl::Duration rotationTime = absl::Milliseconds(2500);
constexpr absl::Duration grace = absl::Seconds(8);

/** What a caller saw of one request, and what the targets did. */
struct observed_request
{
    absl::Time sentAt;
    absl::Duration work;
    bool isRepeatable = false;
    bool alwaysFails = false;
    bool hasStreamBegun = false;
    int ends = 0;
    /** The status of the answer; 0 if the connection broke. */
    int status = 0;
    int arrivals = 0;
    int runs = 0;
};

/** Counts what targets do with each request. */
class request_observer : public fleet_observer
{
public:
    void onArrival(const target_arrival &arrival) override
    {
        ++requests[arrival.requestId].arrivals;
        lastArrivalAt = arrival.at;
    }
    void onExecutionStarted(const std::string &requestId, int, absl::Time) override
    {
        ++requests[requestId].runs;
    }
    void onPromptProcessed(std::int64_t, std::int64_t) override { }

    /** Callers keep references to the entries. */
    std::map<std::string, observed_request> requests;
    absl::Time lastArrivalAt;
};

route routeOf(const std::string &name, request_kind kind, const std::string &service)
{
    return {.name = name,
            .host = "emulated",
            .pathPrefix = "/" + name + "/",
            .kind = kind,
            .services = {{.service = service}},
            .timeout = longTimeout,
            .maxAttempts = 2,
            .isPublic = true};
}

fleet_plan planOfStop()
{
    return {.vms = 2,
            .services
            = {{.name = "plain", .targets = 4, .parameters = plain_parameters {.slots = 60}},
               {.name = "model",
                .targets = 2,
                .parameters = engine_parameters {.slots = 64, .memoryTokens = 4000000}}},
            .routes = {routeOf("once", request_kind::NonIdempotent, "plain"),
                       routeOf("safe", request_kind::Idempotent, "plain"),
                       routeOf("stream", request_kind::Stream, "model")},
            .limits = {.retries = {.ratio = 0.2, .allowance = 1000.0}}};
}

/** Sends requests to one router before and during its planned stop. */
struct stopping_fleet
{
    stopping_fleet() { events.runUntil(events.now() + absl::Seconds(5)); }

    void send()
    {
        emulated_router *router = fleet.router(0);
        if (router == nullptr)
            return;
        const int number = ++sent;
        const char *const routes[] = {"once", "safe", "stream"};
        const int route = number % 3;
        const std::string id = "r" + std::to_string(number);
        observed_request &request = observer.requests[id];
        request.sentAt = events.now();
        request.work = number % 7 == 0 ? longWork : shortWork;
        request.isRepeatable = route == 1;
        request.alwaysFails = route != 2 && number % 5 == 0;
        caller_request message {.description = {.id = id,
                                                .method = "POST",
                                                .host = "emulated",
                                                .path = std::string("/") + routes[route] + "/x",
                                                .callerTimeout = longTimeout},
                                .work = request.work,
                                .isStream = route == 2,
                                .alwaysFails = request.alwaysFails};
        if (message.isStream) {
            message.outputTokens = request.work == longWork ? 6000 : 6;
            message.description.maxOutputTokens = message.outputTokens;
            message.description.prompt = {{.id = static_cast<std::uint64_t>(number), .tokens = 50}};
        }
        router->receive(message, [&request](const caller_event &event) { record(request, event); });
    }

    static void record(observed_request &request, const caller_event &event)
    {
        if (std::holds_alternative<stream_began>(event)) {
            request.hasStreamBegun = true;
            return;
        }
        if (std::holds_alternative<stream_text>(event))
            return;
        ++request.ends;
        if (const auto *own = std::get_if<router_answer>(&event))
            request.status = own->reason.status;
        else if (const auto *whole = std::get_if<complete_answer>(&event))
            request.status = whole->status;
        else if (std::holds_alternative<stream_ended>(event))
            request.status = 200;
    }

    void runLoad(absl::Duration duration)
    {
        const absl::Time end = events.now() + duration;
        while (events.now() < end) {
            send();
            events.runUntil(events.now() + requestInterval);
        }
    }

    event_queue events {absl::UnixEpoch() + absl::Hours(1)};
    request_observer observer;
    emulated_fleet fleet {events, observer, planOfStop()};
    int sent = 0;
};

} // namespace

TEST_CASE("a planned stop in calm with long answers and requests that fail", "[emulator]")
{
    stopping_fleet test;
    test.runLoad(timeBeforeStop);
    const absl::Time stoppedAt = test.events.now();
    test.fleet.stopVm(0);
    test.runLoad(grace);
    test.events.runUntil(stoppedAt + grace);
    REQUIRE(test.fleet.router(0) == nullptr);

    int shortOnes = 0;
    int cutStreams = 0;
    for (const auto &[id, request] : test.observer.requests) {
        CAPTURE(id, request.status, request.runs, request.arrivals,
                absl::FormatDuration(request.sentAt - stoppedAt),
                absl::FormatDuration(request.work));
        CHECK(request.ends == 1);
        const bool isCut = request.status == 0;
        CHECK((!isCut || request.hasStreamBegun));
        cutStreams += isCut ? 1 : 0;
        if (request.status == 503)
            CHECK(request.runs == 0);
        if (!request.isRepeatable)
            CHECK(request.runs <= 1);
        if (request.sentAt >= stoppedAt + absl::Seconds(3))
            CHECK(request.arrivals == 0);
        const bool isOrdinary = request.work == shortWork && !request.alwaysFails;
        if (!isOrdinary || request.sentAt < stoppedAt || request.sentAt > stoppedAt + rotationTime)
            continue;
        ++shortOnes;
        CHECK(request.status == 200);
    }
    CHECK(shortOnes > 30);
    CHECK(cutStreams > 0);
}
