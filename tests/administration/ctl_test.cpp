#include "apps/ctl/ctl_command.h"
#include "apps/ctl/ctl_output.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

ctl_command read(std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--token-file", "token"});
    const ctl_read_result reading = readCommand(arguments);
    INFO(reading.error);
    REQUIRE(reading.command.has_value());
    return *reading.command;
}

} // namespace

SCENARIO("a command line is converted to one HTTP call")
{
    CHECK(toCall(read({"validate", "f.json"})) == ctl_call {"POST", "/v1/validate", true});
    CHECK(toCall(read({"apply", "f.json", "--base", "3", "--wait-ms", "10"}))
          == ctl_call {"POST", "/v1/apply?base=3&waitMs=10", true});
    CHECK(toCall(read({"data-centre", "out", "a b", "--environment", "trial", "--wait-ms", "0"}))
          == ctl_call {"POST", "/v1/data-centres/a%20b/out?environment=trial&waitMs=0", false});
    CHECK(toCall(read({"workspace", "show", "town/1"}))
          == ctl_call {"GET", "/v1/workspaces/town%2f1", false});
    CHECK(toCall(read({"status"})) == ctl_call {"GET", "/v1/status", false});
    CHECK(toCall(read({"promote", "--digest", "ab", "--base", "2", "--accept-data-centres",
                       "--wait-ms", "0"}))
          == ctl_call {"POST", "/v1/promote?base=2&digest=ab&dataCentres=accept&waitMs=0", false});
}

SCENARIO("the error for an invalid command line says how to correct it")
{
    const auto error = [](const std::vector<std::string> &arguments) {
        const ctl_read_result reading = readCommand(arguments);
        CHECK(!reading.command);
        return reading.error;
    };
    CHECK(error({}).find("--help") != std::string::npos);
    CHECK(error({"unknown"}).find("no such verb") != std::string::npos);
    CHECK(error({"status"}).find("--token-file") != std::string::npos);
    CHECK(error({"apply", "f", "--token-file", "t"}).find("--base") != std::string::npos);
    CHECK(error({"validate", "--token-file", "t"}).find("FILE") != std::string::npos);
    CHECK(error({"status", "--output", "xml"}).find("table or json") != std::string::npos);
    CHECK(error({"promote", "--token-file", "t"}).find("--digest") != std::string::npos);
    CHECK(readCommand({"apply", "--help"}).help.find("--base") != std::string::npos);
    CHECK(readCommand({"--help"}).help.find("Exit codes") != std::string::npos);
}

SCENARIO("an answer determines the output and the exit code")
{
    const ctl_command apply = read({"apply", "f", "--base", "1"});

    WHEN("the change is in force")
    {
        const auto result = formatAnswer(apply, R"({"accepted": true, "revision": 2, "digest": "d",
            "fleet": {"inForce": ["vm-1"], "behind": [], "stopped": [], "unheard": []}})");
        CHECK(result.exit == ctl_exit::Done);
        CHECK(result.output.find("revision 2") != std::string::npos);
    }
    WHEN("the change is accepted and one VM has not reported")
    {
        const auto result = formatAnswer(apply, R"({"accepted": true, "revision": 2, "digest": "d",
            "fleet": {"inForce": [], "behind": [], "stopped": [], "unheard": ["vm-2"]},
            "warning": {"code": 4008, "name": "RevisionNotInForce", "message": "m",
                        "whatToDo": "read the status"}})");
        CHECK(result.exit == ctl_exit::NotInForce);
        CHECK(result.output.find("vm-2") != std::string::npos);
        CHECK(result.error.find("next: read the status") != std::string::npos);
    }
    WHEN("another change was accepted first")
    {
        const auto result
            = formatAnswer(apply, R"({"error": {"code": 4002, "name": "RevisionConflict",
            "message": "m", "whatToDo": "w", "revision": 7}})");
        CHECK(result.exit == ctl_exit::Conflict);
        CHECK(result.error.find("revision: 7") != std::string::npos);
    }
    WHEN("the answer does not come from quetzal-admin")
    {
        CHECK(formatAnswer(apply, "<html>").exit == ctl_exit::Failed);
        CHECK(formatAnswer(apply, "{}").exit == ctl_exit::Failed);
        CHECK(formatAnswer(apply, R"({"error": 1})").exit == ctl_exit::Failed);
    }
    WHEN("no answer is received")
    {
        CHECK(formatNoAnswer(apply, true).exit == ctl_exit::OutcomeUnknown);
        CHECK(formatNoAnswer(apply, false).exit == ctl_exit::Unavailable);
        CHECK(formatNoAnswer(read({"status"}), true).exit == ctl_exit::Unavailable);
    }
}
