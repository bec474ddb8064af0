#include "transport/process/periodic_task.h"
#include "transport/process/termination_signal.h"
#include "transport/settings/program_options_reader.h"
#include "transport_fixtures.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace quetzal;
using namespace quetzal::testing;

namespace {

/** A temporary file that is removed on destruction. */
class temporary_file
{
public:
    explicit temporary_file(const std::string &content)
    {
        close(mkstemp(m_path.data()));
        std::ofstream(m_path) << content;
    }
    ~temporary_file() { std::remove(m_path.c_str()); }
    temporary_file(const temporary_file &) = delete;
    temporary_file &operator=(const temporary_file &) = delete;

    const char *path() const { return m_path.c_str(); }

private:
    std::string m_path = "/tmp/quetzal-settings-XXXXXX";
};

std::vector<json_fault> requireVm(const nlohmann::json &document)
{
    std::vector<json_fault> faults;
    json_reader reader(document, "", faults);
    reader.requiredString("vm");
    reader.reportUnknownMembers();
    return faults;
}

/** Output and exit code of one run of a program. */
struct program_run
{
    std::optional<int> exitCode;
    std::string out;
    std::string err;
};

program_run runWith(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "quetzal-test");
    std::ostringstream out;
    std::ostringstream err;
    program_options_reader reader({.name = "quetzal-test", .summary = "Tests.", .version = "1.2.3"},
                                  out, err);
    const auto exitCode
        = reader.read(static_cast<int>(arguments.size()), arguments.data(), requireVm);
    return {exitCode, out.str(), err.str()};
}

} // namespace

SCENARIO("The command line shared by all programs")
{
    const temporary_file valid("{\"vm\": \"vm-1\" /* this one */}");
    const temporary_file faulty(R"({"vn": "vm-1"})");
    const temporary_file broken("{");

    SECTION("valid settings let the program run")
    {
        CHECK(runWith({"--settings", valid.path()}).exitCode == std::nullopt);
    }
    SECTION("valid settings with --check-settings exit with 0")
    {
        const program_run run = runWith({"--settings", valid.path(), "--check-settings"});
        CHECK(run.exitCode == exitSuccess);
        CHECK(run.out == "settings: valid\n");
    }
    SECTION("faults are printed with their paths and exit with 2")
    {
        const program_run run = runWith({"--settings", faulty.path()});
        CHECK(run.exitCode == exitUsage);
        CHECK(run.err.find("error 5001 SettingsInvalid") != std::string::npos);
        CHECK(run.err.find("/vm: must be a non-empty string\n") != std::string::npos);
        CHECK(run.err.find("/vn: unknown member\n") != std::string::npos);
    }
    SECTION("text that is not JSON, a missing file and wrong arguments exit with 2")
    {
        CHECK(runWith({"--settings", broken.path()}).exitCode == exitUsage);
        CHECK(runWith({"--settings", "/nonexistent/settings.json"}).exitCode == exitUsage);
        CHECK(runWith({}).exitCode == exitUsage);
        CHECK(runWith({"--sett"}).exitCode == exitUsage);
        CHECK(runWith({"--settings", valid.path(), "stray"}).exitCode == exitUsage);
        CHECK(runWith({"--unknown"}).exitCode == exitUsage);
    }
    SECTION("--help and --version exit with 0")
    {
        CHECK(runWith({"--help"}).exitCode == exitSuccess);
        CHECK(runWith({"--help"}).out.find("--check-settings") != std::string::npos);
        CHECK(runWith({"--version"}).out == "quetzal-test 1.2.3\n");
    }
}

SCENARIO("SIGTERM and SIGINT are received without a handler")
{
    const termination_signal termination;
    CHECK(!termination.waitFor(absl::Milliseconds(1)));
    kill(getpid(), SIGTERM);
    CHECK(termination.waitFor(absl::Seconds(10)));
    kill(getpid(), SIGINT);
    CHECK(termination.wait() == SIGINT);
}

SCENARIO("A periodic task runs until it is stopped")
{
    std::atomic<int> calls {0};
    periodic_task task(absl::Milliseconds(1), [&calls] { ++calls; });
    CHECK(waitUntil([&] { return calls >= 3; }));
    task.stop();
    const int atStop = calls;
    absl::SleepFor(absl::Milliseconds(20));
    CHECK(calls == atStop);
}
