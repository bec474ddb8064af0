#include "apps/edge/listener.h"
#include "apps/edge/peer_exchange.h"
#include "edge/edge_fixture.h"
#include "exchange/exchange.h"
#include "replication/replication.h"
#include "standins/platform/platform_store.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace quetzal;
using namespace quetzal::standins;

namespace {

/** True if all requests with this identifier ended because the router closed the connection. */
bool isCutOff(platform_engine &engine, const std::string &id, std::size_t maxSentBytes)
{
    for (const engine_arrival &arrival : engine.arrivals()) {
        const bool isOpen = arrival.requestId == id && !arrival.callerDisconnected;
        if (isOpen || arrival.sentBytes > maxSentBytes)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("an edge process with callers, a store and two engines over loopback", "[edge]")
{
    const auto keys = std::make_shared<platform_keys>();
    platform_store store(keys);
    store.start("127.9.7.100", 0);
    platform_engine first("i-1", "127.9.7.11");
    platform_engine second("i-2", "127.9.7.12");
    keys->write("servers/i-1", first.entry("s"));
    keys->write("servers/i-2", second.entry("s"));
    edge router("127.9.7.1", store.port());
    const auto runs = [&](const std::string &id) {
        return countRuns(first, id) + countRuns(second, id);
    };

    REQUIRE(eventually([&] { return !router.isReady(); }));
    const std::string early = router.answerTo(post("/safe/x", "early", "answer"));
    CHECK(early.starts_with("HTTP/1.1 503"));
    CHECK(early.find("Retry-After: ") != std::string::npos);

    keys->write("op/config", configuration(3));
    REQUIRE(eventually([&] { return router.isReady(); }));
    REQUIRE(eventually([&] {
        return router.answerTo(post("/safe/x", "warm", "answer")).starts_with("HTTP/1.1 200");
    }));

    SECTION("the answer is relayed, and the engine receives the workspace")
    {
        const std::string answer = router.answerTo(post("/once/x", "a1", "answer"));
        CHECK(answer.ends_with("answer to question"));
        CHECK(answer.find("X-Server-Stamp: i-") != std::string::npos);
        CHECK(runs("a1") == 1);
        const auto arrivals = countRuns(first, "a1") == 1 ? first.arrivals() : second.arrivals();
        CHECK(arrivals.back().tenant == "t");
    }

    SECTION("unknown keys and routes are rejected")
    {
        std::string wrongKey = post("/once/x", "a1", "answer");
        wrongKey.replace(wrongKey.find("Bearer k"), 8, "Bearer x");
        CHECK(router.answerTo(wrongKey).starts_with("HTTP/1.1 401"));
        CHECK(router.answerTo(post("/none/x", "a1", "answer")).starts_with("HTTP/1.1 404"));
        CHECK(runs("a1") == 0);

        AND_THEN("a key removed by a new configuration is rejected")
        {
            std::string next = configuration(4);
            next.replace(next.find("\"k\""), 3, "\"other\"");
            keys->write("op/config", next);
            CHECK(eventually([&] {
                return router.answerTo(post("/once/x", "late", "answer"))
                    .starts_with("HTTP/1.1 401");
            }));
        }
    }

    SECTION("a chunked request is forwarded with the same body")
    {
        const std::string chunked
            = "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Attempt-Id: c1\r\n"
              "Transfer-Encoding: chunked\r\nConnection: "
              "close\r\n\r\n4\r\nques\r\n4\r\ntion\r\n0\r\n\r\n";
        CHECK(router.answerTo(chunked).ends_with("answer to question"));
    }

    SECTION("pipelined requests are answered in order")
    {
        caller connection(router.address());
        connection.send(post("/safe/x", "p1", "answer", "", "one")
                        + post("/safe/x", "p2", "answer", "", "two")
                        + post("/safe/x", "p3", "answer", "Connection: close\r\n", "three"));
        const std::string all = connection.readAll();
        const std::size_t one = all.find("answer to one");
        const std::size_t two = all.find("answer to two");
        const std::size_t three = all.find("answer to three");
        REQUIRE(three != std::string::npos);
        CHECK(one < two);
        CHECK(two < three);
    }

    SECTION("ambiguously framed and oversized requests reach no engine")
    {
        const std::string both
            = "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Attempt-Id: s1\r\n"
              "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        CHECK(router.answerTo(both).starts_with("HTTP/1.1 400"));
        CHECK(router.answerTo(post("/once/x", "s1", "answer", "Content-Length: 8\r\n"))
                  .starts_with("HTTP/1.1 400"));
        CHECK(router.answerTo(post("/once/x", "s1", "answer", "", std::string(100001, 'x')))
                  .starts_with("HTTP/1.1 413"));
        CHECK(router
                  .answerTo(
                      post("/once/x", "s1", "answer", "X-A: " + std::string(9000, 'x') + "\r\n"))
                  .starts_with("HTTP/1.1 431"));
        CHECK(runs("s1") == 0);
    }

    SECTION("an incomplete request times out")
    {
        caller slow(router.address());
        slow.send("POST /once/x HTTP/1.1\r\nHo");
        CHECK(slow.readAll().starts_with("HTTP/1.1 408"));
    }

    SECTION("an idempotent request whose answer is lost is retried at the other engine")
    {
        CHECK(router.answerTo(post("/safe/x", "l1", "lose")).starts_with("HTTP/1.1 502"));
        CHECK(countRuns(first, "l1") == 1);
        CHECK(countRuns(second, "l1") == 1);
    }

    SECTION("a non-idempotent request with an unusable answer runs exactly once")
    {
        for (const char *engineAction : {"lose", "garble", "truncate"}) {
            CHECK(router.answerTo(post("/once/x", engineAction, engineAction))
                      .starts_with("HTTP/1.1 502"));
            CHECK(runs(engineAction) == 1);
            const std::string stream = std::string("s") + engineAction;
            const std::string answer = router.answerTo(post("/stream/x", stream, engineAction));
            const bool isRelayed = answer.starts_with("HTTP/1.1 200");
            CHECK((isRelayed || answer.starts_with("HTTP/1.1 502")));
            CHECK_FALSE((isRelayed && answer.ends_with("0\r\n\r\n")));
            CHECK(runs(stream) == 1);
        }
    }

    SECTION("a target that sends without end is cut off, and its bytes reach no caller")
    {
        for (const std::string engineAction :
             {"endless-line", "endless-fields", "endless-interim", "endless-error", "endless-other",
              "endless-event", "endless-chunk-line", "endless-trailer"}) {
            INFO(engineAction);
            const std::string route = engineAction == "endless-event" ? "/resume/x" : "/safe/x";
            const std::string answer = router.answerTo(post(route, engineAction, engineAction));
            CHECK(answer.starts_with("HTTP/1.1 502"));
            CHECK(answer.size() < 1000);
            constexpr std::size_t maxSentBytes = 16000000;
            CHECK(eventually([&] {
                return isCutOff(first, engineAction, maxSentBytes)
                    && isCutOff(second, engineAction, maxSentBytes);
            }));
        }
        CHECK(router.answerTo(post("/safe/x", "after", "answer")).starts_with("HTTP/1.1 200"));
    }

    SECTION("a request that every engine rejected is answered with Retry-After")
    {
        const std::string refused = router.answerTo(post("/once/x", "r1", "refuse"));
        CHECK(refused.starts_with("HTTP/1.1 503"));
        CHECK(refused.find("Retry-After: ") != std::string::npos);
        CHECK(runs("r1") == 0);
    }

    SECTION("an earlier refusal, written again on a kept connection, is not taken for a new one")
    {
        for (const std::string engineAction : {"stale-refusal", "stale-refusal-unnamed"}) {
            INFO(engineAction);
            router.answerTo(post("/once/x", "kept-" + engineAction, "answer"));
            const std::string answer = router.answerTo(post("/once/x", engineAction, engineAction));
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(answer.ends_with("answer to question"));
            CHECK(runs(engineAction) == 1);
        }
    }

    SECTION("an answer whose head breaks off is not relayed")
    {
        for (const std::string route : {"/safe/x", "/once/x", "/stream/x", "/resume/x"}) {
            const std::string answer = router.answerTo(post(route, route, "head-only"));
            CAPTURE(route, answer);
            CHECK(answer.starts_with("HTTP/1.1 502"));
            CHECK(answer.find("X-Server-Stamp") == std::string::npos);
            CHECK(runs(route) >= 1);
        }
        CHECK(runs("/once/x") == 1);
        CHECK(runs("/stream/x") == 1);
    }

    SECTION("an engine that says in an answer that it leaves receives no further requests")
    {
        CHECK(router.answerTo(post("/safe/x", "leave", "leave")).starts_with("HTTP/1.1 200"));
        platform_engine &leaving = countRuns(first, "leave") == 1 ? first : second;
        platform_engine &staying = countRuns(first, "leave") == 1 ? second : first;
        const std::size_t before = leaving.arrivals().size();
        for (int request = 0; request < 4; ++request)
            CHECK(router.answerTo(post("/safe/x", "after", "answer")).starts_with("HTTP/1.1 200"));
        CHECK(leaving.arrivals().size() == before);

        AND_WHEN("the last engine refuses a request and says that it leaves")
        {
            router.answerTo(post("/safe/x", "refused", "leave-refusing"));
            const std::size_t last = staying.arrivals().size();
            CHECK(router.answerTo(post("/safe/x", "none", "answer")).starts_with("HTTP/1.1 503"));
            CHECK(staying.arrivals().size() == last);
            CHECK(leaving.arrivals().size() == before);
        }
    }

    SECTION("an engine that refuses with Retry-After receives nothing for that time")
    {
        const std::string refused = router.answerTo(post("/once/x", "busy", "refuse-for-a-second"));
        CHECK(refused.starts_with("HTTP/1.1 503"));
        const std::size_t before = first.arrivals().size() + second.arrivals().size();
        for (int request = 0; request < 4; ++request) {
            const std::string answer = router.answerTo(post("/once/x", "early", "answer"));
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(answer.find("Retry-After: ") != std::string::npos);
        }
        CHECK(first.arrivals().size() + second.arrivals().size() == before);
        CHECK(eventually([&] {
            return router.answerTo(post("/once/x", "later", "answer")).starts_with("HTTP/1.1 200");
        }));
    }

    SECTION("a surplus answer reaches no caller")
    {
        CHECK(router.answerTo(post("/safe/x", "e1", "extra")).ends_with("answer to question"));
        for (int request = 0; request < 6; ++request) {
            const std::string id = "after" + std::to_string(request);
            const std::string answer = router.answerTo(post("/once/x", id, "answer"));
            CHECK(answer.find("X-Attempt-Id: " + id) != std::string::npos);
            CHECK(answer.find("X-Attempt-Id: e1") == std::string::npos);
        }
    }

    SECTION("streams")
    {
        const std::string whole = router.answerTo(post("/stream/x", "st1", "events"));
        CHECK(whole.find("piece1") != std::string::npos);
        CHECK(whole.find("piece8") != std::string::npos);
        CHECK(whole.ends_with("0\r\n\r\n"));

        SECTION("an interrupted stream does not look complete")
        {
            const std::string broken = router.answerTo(post("/stream/x", "st2", "broken"));
            CHECK(broken.find("piece3") != std::string::npos);
            CHECK(broken.find("piece8") == std::string::npos);
            CHECK_FALSE(broken.ends_with("0\r\n\r\n"));
            CHECK(runs("st2") == 1);
        }

        SECTION("an error of the engine that should continue a stream does not enter it")
        {
            const std::string broken
                = router.answerTo(post("/resume/x", "st4", "broken-then-error"));
            CHECK(broken.starts_with("HTTP/1.1 200"));
            CHECK(broken.find("piece3") != std::string::npos);
            CHECK(broken.find("error") == std::string::npos);
            CHECK(broken.find("500") == std::string::npos);
            CHECK(broken.find("HTTP/1.1", 1) == std::string::npos);
            CHECK_FALSE(broken.ends_with("0\r\n\r\n"));
            CHECK(runs("st4") == 2);
        }

        SECTION("a resumable stream continues at the other engine, with each event once")
        {
            const std::string resumed = router.answerTo(post("/resume/x", "st3", "broken"));
            std::size_t at = 0;
            for (int event = 1; event <= 8; ++event) {
                const std::string text = "data: piece" + std::to_string(event) + "\n\n";
                const std::size_t found = resumed.find(text);
                CAPTURE(event, resumed);
                REQUIRE(found != std::string::npos);
                CHECK(found > at);
                CHECK(resumed.find(text, found + 1) == std::string::npos);
                at = found;
            }
            CHECK(resumed.ends_with("0\r\n\r\n"));
            CHECK(runs("st3") == 2);
        }
    }

    SECTION("the request is cancelled at the engine when its caller disconnects")
    {
        caller disconnecting(router.address());
        disconnecting.send(post("/safe/x", "g1", "slow", ""));
        REQUIRE(eventually([&] { return runs("g1") == 1; }));
        disconnecting.disconnect();
        CHECK(eventually([&] {
            auto arrivals = first.arrivals();
            const auto others = second.arrivals();
            arrivals.insert(arrivals.end(), others.begin(), others.end());
            for (const engine_arrival &arrival : arrivals) {
                if (arrival.requestId == "g1" && arrival.callerDisconnected)
                    return true;
            }
            return false;
        }));
    }

    SECTION("a request is answered when the timeout of its route has elapsed")
    {
        keys->write("op/config", configuration(9, 300));
        REQUIRE(eventually([&] {
            return router.answerTo(post("/safe/x", "t1", "slow")).starts_with("HTTP/1.1 504");
        }));
    }

    SECTION("callers that do not read their answers delay no other caller")
    {
        constexpr int stalledCallers = 12;
        constexpr std::chrono::seconds floodTime {1};
        constexpr std::size_t maxTakenBytes = std::size_t {32} * 1024 * 1024;
        std::vector<std::unique_ptr<caller>> stalled;
        for (int number = 0; number < stalledCallers; ++number) {
            stalled.push_back(std::make_unique<caller>(router.address()));
            stalled.back()->send(post("/stream/x", "f" + std::to_string(number), "flood", ""));
        }
        REQUIRE(eventually([&] { return runs("f" + std::to_string(stalledCallers - 1)) == 1; }));
        CHECK(router.answerTo(post("/safe/x", "beside", "answer")).starts_with("HTTP/1.1 200"));
        CHECK(router.isReady());
        std::this_thread::sleep_for(floodTime);
        CHECK(router.answerTo(post("/safe/x", "beside2", "answer")).starts_with("HTTP/1.1 200"));
        for (platform_engine *engine : {&first, &second}) {
            for (const engine_arrival &arrival : engine->arrivals())
                CHECK(arrival.sentBytes < maxTakenBytes);
        }
    }

    SECTION("a draining engine receives no further requests")
    {
        keys->write("servers/i-1", first.entry("s", "draining"));
        REQUIRE(eventually([&] {
            const std::size_t before = first.arrivals().size();
            for (int request = 0; request < 8; ++request)
                router.answerTo(post("/safe/x", "d", "answer"));
            return first.arrivals().size() == before;
        }));

        AND_THEN("an engine with a malformed entry is not used")
        {
            keys->write("servers/i-2", "\xff\xfe nonsense");
            CHECK(eventually([&] {
                return router.answerTo(post("/safe/x", "d", "answer")).starts_with("HTTP/1.1 503");
            }));
        }
    }

    SECTION("odd entries among those of the engines")
    {
        constexpr std::size_t entryBytes = 1048576;
        const std::string good = first.entry("s");
        const auto with = [&](const std::string &from, const std::string &to) {
            std::string entry = good;
            entry.replace(entry.find(from), from.size(), to);
            return entry;
        };
        const std::vector<std::string> odd {
            std::string(entryBytes, '['),
            std::string(entryBytes / 2, '[') + std::string(entryBytes / 2, ']'),
            with("\"v1\"", std::string(entryBytes / 2, '[')),
            with("\"slots\":8", "\"slots\":1e999"),
            with("\"slots\":8", "\"slots\":1e300"),
            with("\"slots\":8", "\"slots\":4294967297"),
            with("\"coldRemainingMs\":0", "\"coldRemainingMs\":1e300"),
            with("\"born\":1", "\"born\":18446744073709551615"),
            with("\"address\":\"", "\"address\":\"9"),
            with("\"address\":\"127.9.7.11:", "\"address\":\"127.9.7.11:99999"),
            with("\"address\":\"127.9.7.11:", "\"address\":\"host:"),
            "\xff\xfe nonsense",
            "",
        };
        const auto isAnswered = [&](const std::string &id, const std::string &status) {
            return eventually([&] {
                return router.answerTo(post("/safe/x", id, "answer"))
                    .starts_with("HTTP/1.1 " + status);
            });
        };
        for (std::size_t number = 0; number < odd.size(); ++number) {
            const std::string id = "odd" + std::to_string(number);
            CAPTURE(number);
            keys->write("servers/i-0", odd[number]);
            keys->write("servers/i-1", odd[number]);
            keys->remove("servers/i-2");
            REQUIRE(isAnswered(id + "none", "503"));
            keys->write("servers/i-2", second.entry("s"));
            REQUIRE(isAnswered(id + "kept", "200"));
            CHECK(countRuns(second, id + "kept") == 1);
            CHECK(router.isReady());
        }
        keys->write("servers/i-1", good);
        keys->remove("servers/i-2");
        REQUIRE(eventually([&] {
            return router.answerTo(post("/safe/x", "back", "answer")).starts_with("HTTP/1.1 200")
                && countRuns(first, "back") > 0;
        }));
        keys->write("servers/i-2", second.entry("s"));

        AND_THEN("a router that starts serves from the good ones and follows later changes")
        {
            for (std::size_t number = 0; number < odd.size(); ++number)
                keys->write("servers/a-" + std::to_string(number), odd[number]);
            edge later("127.9.7.2", store.port());
            REQUIRE(eventually([&] { return later.isReady(); }));
            REQUIRE(eventually([&] {
                return later.answerTo(post("/safe/x", "later", "answer"))
                    .starts_with("HTTP/1.1 200");
            }));
            keys->remove("servers/i-1");
            keys->remove("servers/i-2");
            CHECK(eventually([&] {
                return later.answerTo(post("/safe/x", "none", "answer"))
                    .starts_with("HTTP/1.1 503");
            }));
        }
    }

    SECTION("odd records among those of the routers")
    {
        for (const std::string &host :
             {std::string("nowhere"), std::string("0.0.0.0"), std::string(1048576, '['),
              std::string("\xff\xfe"), std::string()})
            keys->write("quetzalreach/members/odd" + std::to_string(host.size()), host);
        keys->write("op/config", configuration(30, 250));
        CHECK(eventually([&] {
            return router.answerTo(post("/safe/x", "m", "slow")).starts_with("HTTP/1.1 504");
        }));
        CHECK(router.isReady());
        CHECK(router.metricOf("routers") == 1);
    }

    SECTION("numbers out of range in the head of a request")
    {
        for (const char *fields :
             {"X-Deadline-Ms: 9223372036854775807\r\n", "X-Deadline-Ms: -9223372036854775808\r\n",
              "X-Deadline-Ms: 99999999999999999999\r\n", "X-Token-Usage: 1,9223372036854775807\r\n",
              "X-Token-Usage: -1,-9223372036854775808\r\n",
              "X-Prefix-Hash: 1:9223372036854775807,2:9223372036854775807\r\n",
              "X-Prefix-Hash: ffffffffffffffffff:-1\r\n"}) {
            CAPTURE(fields);
            const std::string answer = router.answerTo(
                post("/safe/x", "n", "answer", std::string("Connection: close\r\n") + fields));
            CHECK(answer.starts_with("HTTP/1.1 "));
            CHECK(router.answerTo(post("/safe/x", "a", "answer")).starts_with("HTTP/1.1 200"));
        }
    }

    SECTION("a different engine at a listed address runs no requests for the listed one")
    {
        platform_engine stranger("i-9", "127.9.7.19");
        std::string entry = stranger.entry("s");
        keys->write("servers/i-1", entry);
        keys->remove("servers/i-2");
        CHECK(eventually([&] {
            return router.answerTo(post("/once/x", "w", "answer")).starts_with("HTTP/1.1 503");
        }));
        CHECK(countRuns(stranger, "w") == 0);
    }

    SECTION("requests are served while the store fails")
    {
        for (const store_mode mode :
             {store_mode::Busy, store_mode::TooManyRequests, store_mode::Unresponsive}) {
            store.setMode(mode);
            CHECK(router.answerTo(post("/safe/x", "o", "answer")).starts_with("HTTP/1.1 200"));
            CHECK(router.isReady());
        }
        store.setMode(store_mode::Up);
        keys->write("op/config", configuration(12, 250));
        CHECK(eventually([&] {
            return router.answerTo(post("/safe/x", "o2", "slow")).starts_with("HTTP/1.1 504");
        }));
    }

    SECTION("a router rejected by the store receives changes from another router")
    {
        platform_store other(keys);
        other.start("127.9.7.100", 0);
        edge rejectedRouter("127.9.7.2", other.port());
        REQUIRE(eventually([&] { return rejectedRouter.isReady(); }));
        other.setMode(store_mode::TooManyRequests);
        std::string next = configuration(20);
        next.replace(next.find("\"k\""), 3, "\"other\"");
        keys->write("op/config", next);
        CHECK(eventually([&] {
            return rejectedRouter.answerTo(post("/once/x", "n", "answer"))
                .starts_with("HTTP/1.1 401");
        }));
        other.setMode(store_mode::Up);
    }

    SECTION("malformed datagrams and requests of other routers end nothing")
    {
        const mirror_update update {.vm = "vm-x",
                                    .prefix = 0,
                                    .after = 1,
                                    .revision = 1000000,
                                    .changes = {{.key = "op/config", .value = "{", .revision = 9}}};
        mirror_update beyond = update;
        beyond.prefix = 60;
        const std::string digest = encodeDigest(backlog_digest {.vm = "vm-x", .sequence = 1});
        boost::asio::io_context senders;
        boost::asio::ip::udp::socket sender(senders, boost::asio::ip::udp::v4());
        const boost::asio::ip::udp::endpoint exchange(
            boost::asio::ip::make_address_v4(router.address().host), 17400);
        constexpr std::size_t maxBytes = 8000;
        for (const std::string &sample :
             {encodeUpdate(update, maxBytes).front(), encodeUpdate(beyond, maxBytes).front(),
              digest, std::string(1000, '\x91'), std::string()}) {
            for (std::size_t length = 0; length <= sample.size(); ++length)
                sender.send_to(boost::asio::buffer(sample.substr(0, length)), exchange);
            for (std::size_t changed = 0; changed < sample.size(); ++changed) {
                std::string odd = sample;
                odd[changed] = static_cast<char>(~odd[changed]);
                sender.send_to(boost::asio::buffer(odd), exchange);
            }
        }
        for (const std::string path : {"/mirror/", "/mirror/op/?after=x", "/mirror/op/?after=-9",
                                       "/mirror/op/?after=99999999999999999999", "/"}) {
            caller peer({.host = router.address().host, .port = 17400});
            peer.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            CHECK(peer.readAll().starts_with("HTTP/1.1 "));
        }
        CHECK(eventually([&] { return router.metricOf("datagrams_unreadable") > 100; }));
        CHECK(router.answerTo(post("/safe/x", "m", "answer")).starts_with("HTTP/1.1 200"));
        keys->write("op/config", configuration(30, 250));
        CHECK(eventually([&] {
            return router.answerTo(post("/safe/x", "m2", "slow")).starts_with("HTTP/1.1 504");
        }));
    }

    SECTION("a graceful shutdown reports not ready and completes open requests")
    {
        caller open(router.address());
        open.send(post("/safe/x", "q1", "slow", ""));
        REQUIRE(eventually([&] { return runs("q1") == 1; }));
        router.beginStop();
        CHECK(eventually([&] { return !router.isReady(); }));
        const std::string answer = open.readAll();
        CHECK(answer.ends_with("answer to question"));
        CHECK(answer.find("Connection: close") != std::string::npos);
    }

    router.stop();
    store.finish();
}

TEST_CASE("one turn of the event loop takes all that waits for a busy router", "[edge]")
{
    constexpr int waiting = 50;
    constexpr int turns = 3;
    const std::string ip = "127.9.7.30";
    boost::asio::io_context loop;
    const auto runTurns = [&] {
        for (int turn = 0; turn < turns; ++turn)
            loop.poll_one();
    };

    SECTION("the digests of the other routers")
    {
        forwarding_node node({.routers = {.self = "vm", .members = {"vm"}}});
        peer_exchange exchange(loop, node, {.host = ip, .port = 17500});
        exchange.start();
        boost::asio::io_context senders;
        boost::asio::ip::udp::socket sender(senders, boost::asio::ip::udp::v4());
        for (int number = 0; number < waiting; ++number) {
            const std::string digest
                = encodeDigest(backlog_digest {.vm = "vm" + std::to_string(number), .sequence = 1});
            sender.send_to(boost::asio::buffer(digest),
                           {boost::asio::ip::make_address_v4(ip), 17500});
        }
        runTurns();
        CHECK(exchange.receivedCount() == waiting);
    }

    SECTION("the connections of callers")
    {
        std::vector<tcp::socket> taken;
        const network_address address {.host = ip, .port = 17501};
        listener callers(
            loop, address, [&](tcp::socket socket) { taken.push_back(std::move(socket)); },
            [](const boost::system::error_code &) {});
        std::vector<std::unique_ptr<caller>> connecting;
        for (int number = 0; number < waiting; ++number)
            connecting.push_back(std::make_unique<caller>(address));
        runTurns();
        CHECK(taken.size() == waiting);
    }
}
