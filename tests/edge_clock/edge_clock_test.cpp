#include "edge/edge_fixture.h"
#include "standins/platform/platform_store.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

using namespace quetzal;
using namespace quetzal::standins;

namespace {

/** How far the time of day of this program is ahead of the true one. */
std::atomic<std::int64_t> dayOffsetS {0};

/** Sets the time of day forth and back, as long as it exists. */
class unsteady_day
{
public:
    unsteady_day()
        : m_thread([this] {
            constexpr std::chrono::milliseconds interval {70};
            constexpr std::int64_t stepS = 9;
            for (std::int64_t step = 0; !m_isOver; ++step) {
                dayOffsetS = (step % 3 - 1) * stepS;
                std::this_thread::sleep_for(interval);
            }
            dayOffsetS = 0;
        })
    {
    }
    ~unsteady_day()
    {
        m_isOver = true;
        m_thread.join();
    }

private:
    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

std::string withKey(std::string text, const std::string &key)
{
    return text.replace(text.find("\"k\""), 3, '"' + key + '"');
}

} // namespace

/** Takes the place of the C library's function in this program. */
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_REALTIME)
        time->tv_sec += dayOffsetS;
    return static_cast<int>(result);
}

TEST_CASE("nothing depends on the time of day", "[edge][clock]")
{
    const auto keys = std::make_shared<platform_keys>();
    platform_store store(keys);
    store.start("127.9.7.100", 0);
    platform_engine first("i-1", "127.9.7.11");
    platform_engine second("i-2", "127.9.7.12");
    keys->write("servers/i-1", first.entry("s"));
    keys->write("servers/i-2", second.entry("s"));
    keys->write("op/config", configuration(3));
    const std::time_t before = std::time(nullptr);
    dayOffsetS = 1000;
    REQUIRE(std::chrono::system_clock::to_time_t(std::chrono::system_clock::now()) > before + 900);
    const unsteady_day day;
    edge router("127.9.7.1", store.port());
    auto otherProcess = std::make_unique<edge>("127.9.7.2", store.port());
    edge &other = *otherProcess;
    REQUIRE(eventually([&] { return router.isReady() && other.isReady(); }));
    const auto answers = [](edge &to, const std::string &path, const std::string &status) {
        return to.answerTo(post(path, "r", "answer")).starts_with("HTTP/1.1 " + status);
    };

    SECTION("requests are served, and slow ones end at their timeouts")
    {
        constexpr int requests = 40;
        for (int request = 0; request < requests; ++request) {
            CHECK(answers(router, "/safe/x", "200"));
            CHECK(answers(other, "/once/x", "200"));
        }
        keys->write("op/config", configuration(4, 300));
        CHECK(eventually([&] {
            return router.answerTo(post("/safe/x", "t", "slow")).starts_with("HTTP/1.1 504");
        }));
        const std::string stream = router.answerTo(post("/stream/x", "e", "trickle=10"));
        CHECK(stream.starts_with("HTTP/1.1 200"));
    }

    SECTION("withdrawn keys and new configurations take effect, and stay in force")
    {
        for (int version = 10; version < 16; ++version) {
            const bool isWithdrawn = version % 2 == 1;
            keys->write("op/config", withKey(configuration(version), isWithdrawn ? "other" : "k"));
            const std::string status = isWithdrawn ? "401" : "200";
            REQUIRE(eventually([&] {
                return answers(router, "/safe/x", status) && answers(other, "/safe/x", status);
            }));
            for (int repeat = 0; repeat < 10; ++repeat) {
                CHECK(answers(router, "/safe/x", status));
                CHECK(answers(other, "/safe/x", status));
            }
        }
    }

    SECTION("targets that leave and records that are removed are not used")
    {
        keys->write("servers/i-1", first.entry("s", "draining"));
        REQUIRE(eventually([&] {
            const std::size_t arrivals = first.arrivals().size();
            for (int request = 0; request < 8; ++request)
                answers(request % 2 == 0 ? router : other, "/safe/x", "200");
            return first.arrivals().size() == arrivals;
        }));
        keys->remove("servers/i-1");
        keys->remove("servers/i-2");
        CHECK(eventually(
            [&] { return answers(router, "/safe/x", "503") && answers(other, "/safe/x", "503"); }));
        keys->write("servers/i-2", second.entry("s"));
        CHECK(eventually(
            [&] { return answers(router, "/safe/x", "200") && answers(other, "/safe/x", "200"); }));
    }

    SECTION("a router that restarts is heard again")
    {
        otherProcess.reset();
        otherProcess = std::make_unique<edge>("127.9.7.2", store.port());
        REQUIRE(eventually([&] { return otherProcess->isReady(); }));
        const int heard = router.metricOf("digests_received");
        CHECK(eventually([&] { return router.metricOf("digests_received") > heard + 10; }));
        CHECK(answers(*otherProcess, "/safe/x", "200"));
    }

    otherProcess.reset();
    router.stop();
    store.finish();
}
