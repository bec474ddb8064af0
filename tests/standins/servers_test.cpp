#include "standins/common/completion_text.h"
#include "standins/engine/engine_server.h"
#include "standins/service/service_server.h"
#include "standins/store/store_server.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>

using namespace quetzal::standins;

namespace {

const std::string ip = "127.0.0.1";
constexpr int tokens = 20;

engine_options fastEngine(bool startsWarm = true)
{
    engine_options options;
    options.id = "e1";
    options.startsWarm = startsWarm;
    options.tokensPerSecond = 1000.0;
    options.timeToFirstToken = absl::Milliseconds(5);
    return options;
}

std::string chatBody(bool streamed, int count = tokens)
{
    return nlohmann::json {{"messages", {{{"role", "user"}, {"content", "hello"}}}},
                           {"max_tokens", count},
                           {"stream", streamed}}
        .dump();
}

httplib::Result chat(int port, const std::string &id, bool streamed,
                     std::string *received = nullptr)
{
    httplib::Client client(ip, port);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"X-Request-Id", id}, {"X-Caller-Request-Id", "w/" + id}};
    request.body = chatBody(streamed);
    if (received != nullptr) {
        request.content_receiver = [received](const char *data, std::size_t size, auto, auto) {
            received->append(data, size);
            return true;
        };
    }
    return client.send(request);
}

void setFault(int port, const nlohmann::json &fault)
{
    httplib::Client client(ip, port);
    const auto answer = client.Post("/standin/fault", fault.dump(), "application/json");
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
}

nlohmann::json getJson(int port, const std::string &path)
{
    httplib::Client client(ip, port);
    const auto answer = client.Get(path);
    REQUIRE(answer);
    return nlohmann::json::parse(answer->body);
}

/** Returns the text of a stream; counts its events and reports whether the end marker arrived. */
std::string contentOf(const std::string &stream, int *events = nullptr, bool *isComplete = nullptr)
{
    std::string text;
    std::size_t at = 0;
    while ((at = stream.find("data: ", at)) != std::string::npos) {
        at += std::string("data: ").size();
        const std::string line = stream.substr(at, stream.find('\n', at) - at);
        if (line == "[DONE]") {
            if (isComplete != nullptr)
                *isComplete = true;
            break;
        }
        text += nlohmann::json::parse(line)["choices"][0]["delta"]["content"];
        if (events != nullptr)
            ++*events;
    }
    return text;
}

} // namespace

SCENARIO("an engine answers over HTTP and simulates its faults")
{
    engine_server engine(fastEngine());
    engine.start(ip, 0);
    const int port = engine.port();
    std::string received;

    GIVEN("no fault")
    {
        THEN("a stream and a complete answer carry the text that a checker computes")
        {
            const auto streamed = chat(port, "a", true, &received);
            REQUIRE(streamed);
            CHECK(streamed->get_header_value("X-Request-Id") == "a");
            bool isComplete = false;
            CHECK(contentOf(received, nullptr, &isComplete) == completionText("hello", tokens));
            CHECK(isComplete);
            const auto answer = chat(port, "b", false);
            REQUIRE(answer);
            const auto body = nlohmann::json::parse(answer->body);
            CHECK(body["choices"][0]["message"]["content"] == completionText("hello", tokens));
            CHECK(body["usage"]["completion_tokens"] == tokens);
            CHECK(getJson(port, "/standin/log").size() == 2);
        }
    }

    GIVEN("a stream that is cut off")
    {
        setFault(port, {{"cutAfterEvents", 7}});
        CHECK_FALSE(chat(port, "a", true, &received));
        int events = 0;
        const std::string first = contentOf(received, &events);
        CHECK(events == 7);

        THEN("the rest is resumed from the next event, and the next stream is complete")
        {
            httplib::Client client(ip, port);
            const auto rest = client.Get("/v1/requests/a/stream?offset=7");
            REQUIRE(rest);
            CHECK(first + contentOf(rest->body) == completionText("hello", tokens));
            CHECK(client.Get("/v1/requests/other/stream?offset=0")->status == 404);
            CHECK(chat(port, "b", true, &received));
        }
    }

    GIVEN("answers that are dropped, crossed or truncated")
    {
        THEN("a request is executed but not answered")
        {
            setFault(port, {{"cutBeforeAnswer", 1}});
            CHECK_FALSE(chat(port, "a", false));
            CHECK(getJson(port, "/standin/log").size() == 1);
            CHECK(chat(port, "b", false));
        }
        THEN("a crossed answer carries the id of another request in header and body")
        {
            setFault(port, {{"crossAnswers", 1}});
            const auto answer = chat(port, "a", false);
            REQUIRE(answer);
            CHECK(answer->get_header_value("X-Request-Id") == "a-other");
            CHECK(nlohmann::json::parse(answer->body)["id"] == "a-other");
        }
        THEN("a truncated answer ends before its length, a truncated stream lacks its end marker")
        {
            setFault(port, {{"truncate", 2}});
            CHECK_FALSE(chat(port, "a", false));
            bool isComplete = false;
            REQUIRE(chat(port, "b", true, &received));
            contentOf(received, nullptr, &isComplete);
            CHECK_FALSE(isComplete);
        }
    }

    GIVEN("an engine that rejects requests, drains, is unresponsive or restarts")
    {
        THEN("a rejection is marked as not executed and is not in the log")
        {
            const std::string fault = GENERATE("refuseAll", "leaving");
            setFault(port, {{fault, true}});
            const auto answer = chat(port, "a", true);
            REQUIRE(answer);
            CHECK(answer->status == 503);
            CHECK(answer->get_header_value("X-Not-Run") == "true");
            CHECK(getJson(port, "/standin/log").empty());
        }
        THEN("an unresponsive engine accepts connections but answers only control routes")
        {
            setFault(port, {{"silent", true}});
            httplib::Client client(ip, port);
            client.set_read_timeout(0, 200000);
            CHECK_FALSE(client.Get("/load"));
            CHECK_FALSE(client.Post("/v1/chat/completions", chatBody(false), "application/json"));
            CHECK(getJson(port, "/standin/log").empty());
            setFault(port, {{"silent", false}});
            CHECK(chat(port, "a", false));
        }
        THEN("a restarted engine has a new instance id and is cold")
        {
            const std::string before = getJson(port, "/load")["instance"];
            setFault(port, {{"cold", true}});
            CHECK(getJson(port, "/load")["instance"] != before);
            CHECK(getJson(port, "/load")["cold"] == true);
        }
    }
}

SCENARIO("a service logs every execution, answered or not")
{
    service_options options;
    options.id = "s1";
    service_server service(options);
    service.start(ip, 0);
    httplib::Client client(ip, service.port());
    const httplib::Headers headers {{"X-Request-Id", "p1"}, {"X-Caller-Request-Id", "w/c1"}};

    WHEN("a request is answered")
    {
        const auto answer = client.Post("/bookings?day=1", headers, "abc", "text/plain");
        REQUIRE(answer);
        const auto body = nlohmann::json::parse(answer->body);
        CHECK(body["requestId"] == "p1");
        CHECK(body["callerRequestId"] == "w/c1");
        CHECK(body["path"] == "/bookings?day=1");
        CHECK(body["record"] == 1);
    }

    WHEN("the answer is lost")
    {
        setFault(service.port(), {{"cutBeforeAnswer", 1}});
        CHECK_FALSE(client.Post("/bookings", headers, "abc", "text/plain"));
        THEN("the execution is in the log")
        {
            const auto log = getJson(service.port(), "/standin/log");
            REQUIRE(log.size() == 1);
            CHECK(log[0]["callerRequestId"] == "w/c1");
            CHECK(log[0]["state"] == "done");
        }
    }

    WHEN("it rejects requests")
    {
        setFault(service.port(), {{"refuseAll", true}});
        const auto answer = client.Post("/bookings", headers, "abc", "text/plain");
        REQUIRE(answer);
        CHECK(answer->get_header_value("X-Not-Run") == "true");
        CHECK(getJson(service.port(), "/standin/log").empty());
    }
}

SCENARIO("the store serves keys, watches and leases and simulates its faults")
{
    store_server store;
    store.start(ip, 0);
    httplib::Client client(ip, store.port());
    const std::string key = absl::Base64Escape("head");
    const std::string put
        = nlohmann::json {{"key", key}, {"value", absl::Base64Escape("one")}}.dump();
    const std::string range = nlohmann::json {{"key", key}}.dump();
    const auto post = [&client](const std::string &path, const std::string &body) {
        return client.Post(path, body, "application/json");
    };

    WHEN("the answer to a write is lost")
    {
        setFault(store.port(), {{"loseAnswers", 1}});
        CHECK_FALSE(post("/v3/kv/put", put));
        THEN("the write took effect")
        {
            const auto answer = nlohmann::json::parse(post("/v3/kv/range", range)->body);
            CHECK(answer["kvs"][0]["value"] == absl::Base64Escape("one"));
            CHECK(answer["kvs"][0]["mod_revision"] == "2");
        }
    }

    WHEN("the store is down")
    {
        setFault(store.port(), {{"down", true}});
        CHECK_FALSE(post("/v3/kv/put", put));
        THEN("nothing took effect")
        {
            setFault(store.port(), {{"down", false}});
            CHECK_FALSE(nlohmann::json::parse(post("/v3/kv/range", range)->body).contains("kvs"));
        }
    }

    WHEN("the write rate is limited")
    {
        setFault(store.port(), {{"limitWritesPerSecond", 1}});
        int refused = 0;
        for (int count = 0; count < 4; ++count)
            refused += post("/v3/kv/put", put)->status == 429 ? 1 : 0;
        CHECK(refused >= 2);
    }

    WHEN("a watch starts at an old revision")
    {
        REQUIRE(post("/v3/kv/put", put));
        const nlohmann::json create = {{"key", key}, {"start_revision", "1"}};
        std::string received;
        httplib::Request request;
        request.method = "POST";
        request.path = "/v3/watch";
        request.body = nlohmann::json {{"create_request", create}}.dump();
        request.content_receiver = [&received](const char *data, std::size_t size, auto, auto) {
            received.append(data, size);
            return received.find("\"events\"") == std::string::npos;
        };
        client.send(request);
        THEN("it receives the write, one JSON value per line")
        {
            const auto end = received.find('\n');
            CHECK(nlohmann::json::parse(received.substr(0, end))["result"]["created"] == true);
            const auto line = nlohmann::json::parse(received.substr(end + 1));
            CHECK(line["result"]["events"][0]["kv"]["key"] == key);
        }
    }

    WHEN("a lease is granted, kept alive and revoked")
    {
        const auto grant = nlohmann::json::parse(post("/v3/lease/grant", R"({"TTL":"5"})")->body);
        const std::string lease = nlohmann::json {{"ID", grant["ID"]}}.dump();
        const auto renewed = nlohmann::json::parse(post("/v3/lease/keepalive", lease)->body);
        CHECK(renewed["result"]["TTL"] == "5");
        CHECK(post("/v3/lease/revoke", lease)->status == 200);
        const auto afterRevoke = nlohmann::json::parse(post("/v3/lease/keepalive", lease)->body);
        CHECK_FALSE(afterRevoke["result"].contains("TTL"));
    }
}
