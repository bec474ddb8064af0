#include "platform/platform.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

const std::string settingsText = R"(
nodeName: "edge-1"
zone: "north"
listen: { frontend: "10.1.0.33:8783", ready: "10.1.0.33:8780" }
internalPorts: [7400, 7415]
heartbeatMs: 1200
limits: { memoryMb: 260, fileDescriptors: 4100 }
bounds: { graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, retryAllowance: 52, coldOverage: 1.5, coldTolerance: 5 }
platform: { address: "10.200.1.7:8781" }
unknownField: 1
)";

} // namespace

TEST_CASE("the settings file", "[platform]")
{
    SECTION("is parsed")
    {
        const auto reading = platform::readSettings(settingsText);
        REQUIRE(reading.faults.empty());
        CHECK(reading.settings.vm == "edge-1");
        CHECK(reading.settings.callers == network_address {.host = "10.1.0.33", .port = 8783});
        CHECK(reading.settings.store.port == 8781);
        CHECK(reading.settings.firstInternalPort == 7400);
        CHECK(reading.settings.stopGrace == absl::Seconds(8));
        CHECK(reading.settings.coldFactor == 1.5);
        CHECK(reading.settings.retryAllowance == 52.0);
    }
    SECTION("the share of a processor is the quota of each of its cores")
    {
        const auto shareWith = [](const std::string &fields) {
            std::string text = settingsText;
            text.replace(text.find("memoryMb"), 0, fields);
            const auto reading = platform::readSettings(text);
            CHECK(reading.faults.empty());
            return reading.settings.processorShare;
        };
        CHECK(shareWith("cpuQuota: 0.12, cores: 1, ") == Approx(0.12));
        CHECK(shareWith("cpuQuota: 0.5, cores: 4, ") == Approx(2.0));

        AND_THEN("and a whole core if they say nothing of it")
        {
            CHECK(shareWith("") == 1.0);
            CHECK(shareWith("cpuQuota: null, ") == 1.0);
            CHECK(shareWith("cpuQuota: 0, ") == 1.0);
            CHECK(shareWith("cpuQuota: -1, ") == 1.0);
            CHECK(shareWith("cpuQuota: .nan, ") == 1.0);
            CHECK(shareWith("cpuQuota: .inf, ") == 1.0);
        }
    }
    SECTION("faults name their fields")
    {
        const auto reading = platform::readSettings("nodeName: []\nzone: a\nlisten: 5\n");
        std::vector<std::string> fields;
        for (const settings_fault &fault : reading.faults)
            fields.push_back(fault.field);
        CHECK(fields
              == std::vector<std::string> {"nodeName", "listen.frontend", "listen.ready",
                                           "platform.address", "internalPorts"});
    }
    SECTION("text that is not a YAML map is a fault")
    {
        CHECK_FALSE(platform::readSettings("[1, 2").faults.empty());
        CHECK_FALSE(platform::readSettings("").faults.empty());
    }
}

TEST_CASE("a target's entry in the store", "[platform]")
{
    const std::string good = R"({"service":"s","address":"10.1.1.1:80","zone":"z","version":"v1",
        "slots":64,"state":"ready","coldRemainingMs":250,"sequence":4,"born":17})";
    const auto record = platform::readTarget("servers/i-1", good);
    REQUIRE(record.has_value());
    CHECK(record->id == "i-1");
    CHECK(record->coldDuration == absl::Milliseconds(250));
    CHECK(record->startedAtMs == 17);
    CHECK_FALSE(record->isDraining);

    SECTION("of a draining target")
    {
        std::string text = good;
        text.replace(text.find("ready"), 5, "draining");
        CHECK(platform::readTarget("servers/i-1", text)->isDraining);
    }
    SECTION("that is malformed is ignored")
    {
        for (const auto &[from, to] :
             std::vector<std::pair<std::string, std::string>> {{"\"s\"", "7"},
                                                               {"\"ready\"", "\"odd\""},
                                                               {"64", "\"64\""},
                                                               {"64", "0"},
                                                               {"64", "6.5"},
                                                               {"17", "17.5"},
                                                               {"17", "\"17\""},
                                                               {"\"10.1.1.1:80\"", "\"nowhere\""},
                                                               {"250", "null"},
                                                               {"\"zone\":\"z\",", ""}}) {
            std::string text = good;
            text.replace(text.find(from), from.size(), to);
            CAPTURE(text);
            CHECK_FALSE(platform::readTarget("servers/i-1", text).has_value());
        }
        CHECK_FALSE(platform::readTarget("servers/i-1", "\xff\x01garbage").has_value());
        CHECK_FALSE(platform::readTarget("servers/i-1", "[]").has_value());
    }

    const auto withText = [&](const std::string &from, const std::string &to) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    SECTION("that is nested deeply is ignored, at a cost that does not depend on its depth")
    {
        constexpr std::size_t entryBytes = 1048576;
        constexpr std::size_t millions = 4000000;
        for (const std::size_t size : {std::size_t {100000}, entryBytes, millions}) {
            std::string objects;
            while (objects.size() < size)
                objects += R"({"a":)";
            const std::string arrays(size, '[');
            const std::string closed = arrays + std::string(size, ']');
            for (const std::string &deep : {arrays, objects, closed}) {
                CHECK_FALSE(platform::readTarget("servers/i-1", deep).has_value());
                CHECK_FALSE(platform::readTarget("servers/i-1", withText("\"v1\"", deep)));
            }
        }
    }
    SECTION("with a number outside its range is ignored")
    {
        for (const char *number : {"1e999", "-1e999", "1e300", "4294967297", "9223372036854775807",
                                   "9223372036854775808", "18446744073709551616", "-1", "NaN",
                                   "Infinity", "1e2", "true", "[64]"}) {
            CAPTURE(number);
            CHECK_FALSE(platform::readTarget("servers/i-1", withText("64", number)));
        }
        for (const char *number : {"1e999", "1e300", "NaN", "\"250\"", "true",
                                   "9223372036854775807", "18446744073709551615"}) {
            CAPTURE(number);
            CHECK_FALSE(platform::readTarget("servers/i-1", withText("250", number)));
        }
        for (const char *number : {"1e999", "1e300", "-1", "9223372036854775808",
                                   "18446744073709551615", "18446744073709551616"}) {
            CAPTURE(number);
            CHECK_FALSE(platform::readTarget("servers/i-1", withText("17", number)));
        }
        CHECK(platform::readTarget("servers/i-1", withText("250", "-1"))->coldDuration
              == absl::ZeroDuration());
        CHECK(platform::readTarget("servers/i-1", withText("250", "0.5"))->coldDuration
              == absl::Microseconds(500));
        CHECK(platform::readTarget("servers/i-1", withText("17", "1700000000000"))->startedAtMs
              == 1700000000000);
    }
    SECTION("whose address names no host and port is ignored")
    {
        for (const char *address : {"10.1.1.1:0",
                                    "10.1.1.1:65536",
                                    "10.1.1.1:99999",
                                    "10.1.1.1:-1",
                                    "10.1.1.1:+80",
                                    "10.1.1.1:",
                                    "10.1.1.1",
                                    "10.1.1.1:80x",
                                    "10.1.1.1: 80",
                                    "10.1.1.1:0x50",
                                    ":80",
                                    "",
                                    "engine:80",
                                    "localhost:80",
                                    "10.1.1:80",
                                    "10.1.1.256:80",
                                    "10.1.1.1.1:80",
                                    "010.1.1.1:80",
                                    "0.0.0.0:80",
                                    "255.255.255.255:80",
                                    "224.0.0.1:80",
                                    "[::1]:80",
                                    "10.1.1.1:80:80",
                                    "10.1.1.1 :80",
                                    "10.1.1.1\\u0000:80",
                                    "http://10.1.1.1:80"}) {
            CAPTURE(address);
            CHECK_FALSE(platform::readTarget("servers/i-1", withText("10.1.1.1:80", address)));
        }
        CHECK(platform::readTarget("servers/i-1", withText("10.1.1.1:80", "10.1.1.1:65535"))
                  ->address.port
              == 65535);
    }
    SECTION("whose key is not an identifier is ignored")
    {
        for (const char *key : {"servers/", "servers/i 1", "servers/i\r\nX-Tenant: t",
                                "servers/i\n1", "servers/\xc3\xa9", "servers/i\x7f"}) {
            CAPTURE(key);
            CHECK_FALSE(platform::readTarget(key, good));
        }
    }
    SECTION("with text that is not UTF-8, or with duplicate members, is read as a whole or not")
    {
        CHECK_FALSE(platform::readTarget("servers/i-1", withText("\"v1\"", "\"\xff\"")));
        CHECK_FALSE(platform::readTarget("servers/i-1", withText("\"v1\"", "\"\xed\xa0\x80\"")));
        CHECK_FALSE(platform::readTarget("servers/i-1", withText("\"slots\"", "\"service\"")));
        CHECK_FALSE(platform::readTarget("servers/i-1", good + "x"));
        CHECK_FALSE(platform::readTarget("servers/i-1", good + good));
        CHECK_FALSE(platform::readTarget("servers/i-1", ""));
        CHECK(platform::readTarget("servers/i-1",
                                   withText("\"slots\":64", "\"slots\":1,\"slots\":64"))
                  ->slots
              == 64);
    }
}

TEST_CASE("the configuration document", "[platform]")
{
    const std::string text = R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/a/","routeKind":"streaming","timeoutMs":12000,
         "targetLatencyMs":800,"weightedServices":[{"service":"x","weight":90},{"service":"y","weight":10}],
         "maxAttempts":2,"resumable":true},
        {"name":"r2","host":"h","prefix":"/b/","routeKind":"odd","timeoutMs":1500,"service":"x","public":true}],
        "services":[{"name":"x","maxConnections":360,"coldStartS":3.0,"coldPerS":6.3,
                     "engine":{"kvCapacityTokens":1000}}],
        "limits":{"maxHeaderBytes":100,"idleTimeoutMs":15000,"tokensPerS":480000},
        "tenants":[{"name":"t","apiKeys":["k1","k2"]}]})";
    const auto options = platform::readConfiguration(text);
    REQUIRE(options.has_value());
    CHECK(options->version == 7);
    CHECK(options->routes[0].services.size() == 2);
    CHECK(options->routes[0].isRepeatable());
    CHECK(options->limits.headBytes == 100);
    CHECK(options->limits.tokensPerSecond == 480000.0);
    CHECK(options->workspaceOfKey.at("k2") == "t");
    CHECK(options->services[0].isModelEngine());

    SECTION("a route of unknown kind is treated as not idempotent")
    {
        CHECK(options->routes[1].kind == request_kind::NonIdempotent);
    }
    SECTION("a weighted route splits requests by weight")
    {
        const route_table table(*options);
        const route *rule = table.find("H:80", "/a/x");
        REQUIRE(rule != nullptr);
        int first = 0;
        for (int request = 0; request < 1000; ++request)
            first += serviceFor(*rule, std::to_string(request)) == "x" ? 1 : 0;
        CHECK(first > 850);
        CHECK(first < 950);
    }
    SECTION("a malformed document is rejected as a whole")
    {
        CHECK_FALSE(platform::readConfiguration(text.substr(0, text.size() / 2)).has_value());
        CHECK_FALSE(platform::readConfiguration(R"({"version":"x"})").has_value());
    }
}

TEST_CASE("the request head sent to a target", "[platform]")
{
    request_head head {.method = "POST", .target = "/a/x?y=1"};
    for (const auto &[name, value] : std::vector<std::pair<std::string, std::string>> {
             {"Host", "h.example"},
             {"X-Attempt-Id", "abc"},
             {"X-Deadline-Ms", "5000"},
             {"Authorization", "Bearer secret"},
             {"x-tenant", "forged"},
             {"X-Pin-Ms", "1"},
             {"X-Retention", "1"},
             {"X-Kv-Backup", "1"},
             {"Kv-From", "1"},
             {"X-Expect-Instance", "forged"},
             {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
             {"X-Token-Usage", "1210,80"},
             {"Connection", "X-Private, X-Prefix-Hash"},
             {"X-Private", "1"},
             {"X-Other", "kept"}})
        head.fields.add(name, value);

    const auto request = platform::describeRequest(head);
    REQUIRE(request.has_value());
    CHECK(request->key == "secret");
    CHECK(request->callerTimeout == absl::Seconds(5));
    CHECK(request->prompt.size() == 2);
    CHECK(request->prompt[0] == prompt_part {.id = 0x5c1e07a2, .tokens = 800});
    CHECK(request->maxOutputTokens == 80);

    const request_head sent = platform::requestForTarget(
        head, {.target = "i-1", .workspace = "t", .timeLeft = absl::Milliseconds(1234)});
    CHECK(sent.target == "/a/x?y=1");
    CHECK(sent.fields.valueOf("X-Tenant") == "t");
    CHECK(sent.fields.count("X-Tenant") == 1);
    CHECK(sent.fields.valueOf("X-Expect-Instance") == "i-1");
    CHECK(sent.fields.valueOf("X-Deadline-Ms") == "1234");
    CHECK(sent.fields.valueOf("X-Attempt-Id") == "abc");
    CHECK(sent.fields.valueOf("X-Prefix-Hash") == "5c1e07a2:800,91bd3f06:410");
    CHECK(sent.fields.valueOf("X-Other") == "kept");
    for (const char *name : {"Authorization", "X-Pin-Ms", "X-Retention", "X-Kv-Backup", "Kv-From",
                             "Connection", "X-Private"})
        CHECK(sent.fields.find(name) == nullptr);

    SECTION("numbers out of range are ignored or bounded")
    {
        for (const char *prefix :
             {"1:9223372036854775807,2:9223372036854775807", "1:9223372036854775808", "1:-1",
              "10000000000000000:1", "-1:1", "1:1e3", "1:", ":1"}) {
            CAPTURE(prefix);
            head.fields.set("X-Prefix-Hash", prefix);
            CHECK(platform::describeRequest(head)->prompt.empty());
        }
        for (const auto &[usage, tokens] :
             {std::pair("1,9223372036854775807", std::int64_t {1000000000}),
              std::pair("1,-9223372036854775808", std::int64_t {0}),
              std::pair("1,9223372036854775808", std::int64_t {0}),
              std::pair(",", std::int64_t {0})}) {
            CAPTURE(usage);
            head.fields.set("X-Token-Usage", usage);
            CHECK(platform::describeRequest(head)->maxOutputTokens == tokens);
        }
        for (const char *deadline : {"9223372036854775807", "-9223372036854775808",
                                     "9223372036854775808", "1e300", "nan", ""}) {
            CAPTURE(deadline);
            head.fields.set("X-Deadline-Ms", deadline);
            CHECK(platform::describeRequest(head).has_value());
        }
    }
    SECTION("a workspace named by the caller is dropped if the router sets none")
    {
        const request_head open = platform::requestForTarget(head, {.target = "i-1"});
        CHECK(open.fields.find("X-Tenant") == nullptr);
    }
    SECTION("a request with two identifiers is not forwarded")
    {
        head.fields.add("X-Attempt-Id", "other");
        CHECK_FALSE(platform::describeRequest(head).has_value());
    }
}
