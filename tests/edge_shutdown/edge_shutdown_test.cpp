#include "edge/edge_fixture.h"
#include "foundation/errors/result_code.h"
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

constexpr char keepOpen[] = "";
/** Longer than any grace period here, both for the routes and for the work of the engines. */
constexpr int longTimeoutMs = 30000;
constexpr char longWork[] = "wait=25000";
constexpr char longStream[] = "trickle=250";
constexpr int maxAttempts = 20;

bool isOk(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200") && answer.ends_with("answer to question");
}

/** True if the router had too little processor time for the request, which may be sent again. */
bool isOverloaded(const std::string &answer)
{
    const auto code = static_cast<int>(result_code::RouterOverloaded);
    return answer.starts_with("HTTP/1.1 503")
        && answer.find("{\"code\":" + std::to_string(code)) != std::string::npos;
}

bool isRejection(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After: ") != std::string::npos;
}

/** True for a complete answer that does not promise that the request has not run. */
bool isHonestFailure(const std::string &answer)
{
    return (answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504"))
        && answer.find("\r\n\r\n{") != std::string::npos;
}

/** True for the beginning of an event stream that does not look complete. */
bool isBrokenStream(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200") && answer.find("piece1") != std::string::npos
        && !answer.ends_with("0\r\n\r\n");
}

/** An edge process with a store and two engines; each test uses addresses of its own. */
struct shutdown_fixture
{
    explicit shutdown_fixture(const std::string &ip, absl::Duration grace = absl::Seconds(8))
        : keys(std::make_shared<platform_keys>())
        , store(keys)
        , first("i-1", "127.9.7.11")
        , second("i-2", "127.9.7.12")
    {
        store.start("127.9.7.100", 0);
        keys->write("servers/i-1", first.entry("s"));
        keys->write("servers/i-2", second.entry("s"));
        keys->write("op/config", configuration(3, longTimeoutMs));
        router = std::make_unique<edge>(ip, store.port(), grace);
        REQUIRE(eventually([&] { return router->isReady(); }));
        for (const std::string path : {"/safe/x", "/once/x"})
            REQUIRE(eventually([&] { return isOk(ask(path, "w", "answer")); }));
    }
    ~shutdown_fixture()
    {
        router->stop();
        store.finish();
    }

    std::size_t runs(const std::string &id) { return countRuns(first, id) + countRuns(second, id); }
    /** Returns the answer to a request, which is sent again if the router was overloaded. */
    std::string ask(const std::string &path, const std::string &id, const std::string &engineAction)
    {
        std::string answer;
        for (int attempt = 0; attempt < maxAttempts && (attempt == 0 || isOverloaded(answer));
             ++attempt)
            answer = router->answerTo(post(path, id, engineAction));
        return answer;
    }
    /** Opens a connection and sends a request that reaches an engine. */
    std::unique_ptr<caller> open(const std::string &path, const std::string &id,
                                 const std::string &engineAction, int receiveBuffer = 0)
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            auto connection = std::make_unique<caller>(router->address(), receiveBuffer);
            connection->send(post(path, id, engineAction, keepOpen));
            REQUIRE(eventually([&] { return runs(id) == 1 || connection->hasInput(); }));
            if (runs(id) == 1)
                return connection;
            REQUIRE(isOverloaded(connection->readAll()));
        }
        FAIL("the router stays overloaded");
        return nullptr;
    }
    /** Opens a connection on which a request was answered, and that stays open. */
    std::unique_ptr<caller> openIdle()
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            auto connection = std::make_unique<caller>(router->address());
            connection->send(post("/safe/x", "idle", "answer", keepOpen));
            const std::string answer = connection->readUntil("question");
            if (isOk(answer))
                return connection;
            REQUIRE(isOverloaded(answer));
        }
        FAIL("the router stays overloaded");
        return nullptr;
    }
    void beginStop()
    {
        stoppedAt = std::chrono::steady_clock::now();
        router->beginStop();
    }
    /** Waits until this time after the beginning of the stop. */
    void waitUntil(std::chrono::milliseconds sinceStop) const
    {
        std::this_thread::sleep_until(stoppedAt + sinceStop);
    }
    std::chrono::milliseconds sinceStop() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - stoppedAt);
    }

    std::shared_ptr<platform_keys> keys;
    platform_store store;
    platform_engine first;
    platform_engine second;
    std::unique_ptr<edge> router;
    std::chrono::steady_clock::time_point stoppedAt;
};

} // namespace

TEST_CASE("a planned stop with the platform's grace period", "[edge][shutdown]")
{
    using std::chrono::milliseconds;
    shutdown_fixture test("127.9.7.3");
    const auto kept = test.openIdle();
    const auto keptLonger = test.openIdle();

    test.beginStop();
    REQUIRE(eventually([&] { return !test.router->isReady(); }));

    // In the first seconds the load balancer still sends new connections.
    test.waitUntil(milliseconds(500));
    kept->send(post("/once/x", "kept-1", "answer", keepOpen));
    const std::string lastOnKept = kept->readAll();
    CHECK((isOk(lastOnKept) || isOverloaded(lastOnKept)));
    CHECK(lastOnKept.find("Connection: close") != std::string::npos);
    const auto longOnce = test.open("/once/x", "long-once", longWork);
    const auto longSafe = test.open("/safe/x", "long-safe", longWork);
    const auto stream = test.open("/stream/x", "long-stream", longStream);
    const auto resumable = test.open("/resume/x", "long-resume", longStream);
    const auto finishing = test.open("/once/x", "finishing", "wait=4000");
    for (int request = 0; test.sinceStop() < milliseconds(2500); ++request) {
        const std::string id = "short-" + std::to_string(request);
        CHECK(isOk(test.ask(request % 2 == 0 ? "/once/x" : "/safe/x", id, "answer")));
        std::this_thread::sleep_for(milliseconds(50));
    }
    keptLonger->send(post("/once/x", "kept-2", "answer", keepOpen));
    const std::string lastOnKeptLonger = keptLonger->readAll();
    CHECK((isOk(lastOnKeptLonger) || isOverloaded(lastOnKeptLonger)));

    // Later ones are told to try another machine, and do not run.
    for (const int sinceStop : {2900, 5000, 7000}) {
        test.waitUntil(milliseconds(sinceStop));
        for (const std::string path : {"/once/x", "/safe/x", "/stream/x", "/resume/x"}) {
            const std::string id = "late-" + std::to_string(sinceStop) + path;
            CAPTURE(id);
            CHECK(isRejection(test.router->answerTo(post(path, id, "answer"))));
            CHECK(test.runs(id) == 0);
        }
    }
    CHECK(isOk(finishing->readAll()));

    // Every request that was read ends with an answer that is complete, or honest about its end.
    const std::string onceAnswer = longOnce->readAll();
    const std::string safeAnswer = longSafe->readAll();
    const std::string streamAnswer = stream->readAll();
    const std::string resumableAnswer = resumable->readAll();
    CAPTURE(onceAnswer, safeAnswer);
    CHECK(isHonestFailure(onceAnswer));
    CHECK(isHonestFailure(safeAnswer));
    CHECK(isBrokenStream(streamAnswer));
    CHECK(isBrokenStream(resumableAnswer));
    for (const std::string id : {"long-once", "long-safe", "long-stream", "long-resume"})
        CHECK(test.runs(id) == 1);
    CHECK(eventually([&] { return test.router->hasEnded(); }));
}

TEST_CASE("a planned stop with a grace period shorter than the load balancer takes",
          "[edge][shutdown]")
{
    const absl::Duration grace = GENERATE(absl::Seconds(1), absl::Seconds(3));
    shutdown_fixture test("127.9.7.4", grace);
    const auto open = test.open("/once/x", "long", longWork);
    test.beginStop();
    CHECK(isOk(test.ask("/once/x", "short", "answer")));
    const std::string answer = open->readAll();
    REQUIRE(eventually([&] { return test.router->hasEnded(); }));
    CAPTURE(absl::FormatDuration(grace), answer, test.sinceStop().count());
    CHECK(isHonestFailure(answer));
    CHECK(test.sinceStop().count() < absl::ToInt64Milliseconds(grace) + 1500);
}

TEST_CASE("a request that is half received when the process must end is answered",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.5", absl::Seconds(2));
    const std::string request = post("/once/x", "half", "answer", keepOpen);
    const auto open = test.open("/once/x", "long", longWork);
    test.beginStop();
    test.waitUntil(std::chrono::milliseconds(1300));
    caller halfHead(test.router->address());
    caller halfBody(test.router->address());
    halfHead.send(request.substr(0, 30));
    halfBody.send(request.substr(0, request.size() - 3));
    const std::string headAnswer = halfHead.readAll();
    const std::string bodyAnswer = halfBody.readAll();
    CAPTURE(headAnswer, bodyAnswer);
    CHECK(isRejection(headAnswer));
    CHECK(isRejection(bodyAnswer));
    CHECK(test.runs("half") == 0);
}

TEST_CASE("a request that crosses the close of an idle connection is answered or does not run",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.6", absl::Seconds(4));
    constexpr int count = 60;
    std::vector<std::unique_ptr<caller>> kept;
    for (int number = 0; number < count; ++number) {
        kept.push_back(test.openIdle());
    }
    test.beginStop();
    int answered = 0;
    for (int number = 0; number < count; ++number) {
        test.waitUntil(std::chrono::milliseconds(2600 + 10 * number));
        const std::string id = "crossing-" + std::to_string(number);
        kept[static_cast<std::size_t>(number)]->send(post("/once/x", id, "answer", keepOpen));
        const std::string answer = kept[static_cast<std::size_t>(number)]->readAll();
        CAPTURE(id, answer);
        answered += isOk(answer) ? 1 : 0;
        const bool isHonest
            = isOk(answer) || ((answer.empty() || isRejection(answer)) && test.runs(id) == 0);
        CHECK(isHonest);
    }
    CHECK(answered > 0);
}

TEST_CASE("pipelined requests at a planned stop", "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.7", absl::Seconds(3));
    const auto connection = test.open("/once/x", "first", "wait=700");
    connection->send(post("/once/x", "second", "answer", keepOpen));
    test.beginStop();
    const std::string answers = connection->readAll();
    CAPTURE(answers);
    CHECK(isOk(answers));
    CHECK(answers.find("Connection: close") != std::string::npos);
    CHECK(answers.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(test.runs("second") == 0);
}

TEST_CASE("a second stop signal and a longer grace period do not delay the end", "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.8", absl::Seconds(4));
    const auto open = test.open("/once/x", "long", longWork);
    test.beginStop();
    test.router->writeGrace(absl::Seconds(20));
    test.waitUntil(std::chrono::milliseconds(3300));
    CHECK(test.router->hasReadGrace());
    test.router->beginStop();
    const std::string answer = open->readAll();
    CAPTURE(answer, test.sinceStop().count());
    CHECK(isHonestFailure(answer));
    REQUIRE(eventually([&] { return test.router->hasEnded(); }));
    CHECK(test.sinceStop() < std::chrono::seconds(10));
}

TEST_CASE("a shorter grace period that is set during the stop applies", "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.9", absl::Seconds(20));
    const auto open = test.open("/once/x", "long", longWork);
    test.beginStop();
    test.router->writeGrace(absl::Seconds(5));
    const std::string answer = open->readAll();
    CAPTURE(answer);
    CHECK(isHonestFailure(answer));
    CHECK(eventually([&] { return test.router->hasEnded(); }));
    CHECK(test.sinceStop() < std::chrono::seconds(7));
}

TEST_CASE("requests are served and answered in a planned stop while the store is down",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.13", absl::Seconds(3));
    test.store.setMode(store_mode::Unresponsive);
    const auto open = test.open("/once/x", "long", longWork);
    test.beginStop();
    for (int request = 0; test.sinceStop() < std::chrono::milliseconds(2000); ++request) {
        CHECK(isOk(test.ask("/once/x", "short-" + std::to_string(request), "answer")));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(isHonestFailure(open->readAll()));
    CHECK(eventually([&] { return test.router->hasEnded(); }));
    test.store.setMode(store_mode::Up);
}

TEST_CASE("a repeatable request is not sent again when its answer can't be complete in time",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.14", absl::Seconds(2));
    const auto open = test.open("/safe/x", "lost", "lose=1700");
    test.beginStop();
    const std::string answer = open->readAll();
    CAPTURE(answer);
    CHECK(isHonestFailure(answer));
    CHECK(test.runs("lost") == 1);
}

TEST_CASE("a caller that pauses before it reads receives its whole answer in a planned stop",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.15");
    constexpr int receiveBuffer = 65536;
    test.beginStop();
    const auto slow = test.open("/once/x", "large", "large", receiveBuffer);
    std::this_thread::sleep_for(std::chrono::milliseconds(1250));
    const std::string answer = slow->readAll();
    CAPTURE(answer.size());
    CHECK(answer.size() > 900000);
}

TEST_CASE("a request whose answer takes longer than the time left is rejected at once",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.16", absl::Seconds(3));
    std::vector<std::unique_ptr<caller>> earlier;
    for (int number = 0; number < 10; ++number)
        earlier.push_back(test.open("/once/x", "earlier" + std::to_string(number), "wait=2000"));
    for (const auto &connection : earlier)
        REQUIRE(isOk(connection->readUntil("question")));
    test.beginStop();
    test.waitUntil(std::chrono::milliseconds(1300));
    const std::string answer = test.ask("/once/x", "late", "wait=2000");
    CAPTURE(answer);
    CHECK(isRejection(answer));
    CHECK(test.runs("late") == 0);
    CHECK(isOk(test.ask("/safe/x", "short", "answer")));
}

TEST_CASE("a request that comes some time after its connection is answered late in a planned stop",
          "[edge][shutdown]")
{
    shutdown_fixture test("127.9.7.17", absl::Seconds(4));
    const auto open = test.open("/once/x", "long", longWork);
    test.beginStop();
    test.waitUntil(std::chrono::milliseconds(2850));
    caller late(test.router->address());
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    late.send(post("/once/x", "late", "answer", keepOpen));
    CHECK(isRejection(late.readAll()));
    CHECK(test.runs("late") == 0);
}

TEST_CASE("a caller that reads slowly receives its whole answer while the process stops", "[edge]")
{
    constexpr int receiveBuffer = 16384;
    constexpr std::size_t answerBytes = 900000;
    shutdown_fixture fixture("127.9.7.18", absl::Seconds(5));
    const auto slow = fixture.open("/once/x", "large", "large", receiveBuffer);
    REQUIRE(eventually([&] { return fixture.router->metricOf("held_answer_bytes") > 0; }));
    fixture.router->beginStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    CHECK(slow->readAll().size() > answerBytes);
}
