#include "apps/ctl/ctl_command.h"
#include "apps/ctl/ctl_output.h"
#include "apps/ctl/explain_command.h"

#include <absl/strings/ascii.h>
#include <httplib.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace quetzal {

namespace {

constexpr time_t connectTimeoutSeconds = 2;
/** Maximum time for an answer, in addition to the wait for the VMs. */
constexpr std::int64_t answerTimeoutMillis = 30000;
constexpr std::int64_t millisPerSecond = 1000;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ctl_result usageError(const std::string &error)
{
    return {ctl_exit::Usage, {}, "quetzalctl: " + error + "\n"};
}

ctl_result send(const ctl_command &command, const std::string &token, const std::string &body)
{
    httplib::Client client(command.admin);
    if (!client.is_valid())
        return usageError("--admin must be a URL such as http://127.0.0.1:9300");
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout((answerTimeoutMillis + command.waitMillis) / millisPerSecond);
    const httplib::Headers headers {{"Authorization", "Bearer " + token}};
    const ctl_call call = toCall(command);
    const httplib::Result result = call.method == "POST"
        ? client.Post(call.target, headers, body, "application/json")
        : client.Get(call.target, headers);
    if (!result)
        return formatNoAnswer(command, result.error() != httplib::Error::Connection);
    return formatAnswer(command, result->body);
}

ctl_result run(const ctl_command &command)
{
    const std::optional<std::string> token = readFile(command.tokenFile);
    if (!token)
        return usageError("cannot read the token file " + command.tokenFile);
    std::string body;
    if (toCall(command).sendsFile) {
        const std::optional<std::string> file = readFile(command.operand);
        if (!file)
            return usageError("cannot read the document " + command.operand);
        body = *file;
    }
    return send(command, std::string(absl::StripAsciiWhitespace(*token)), body);
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "explain")
        return quetzal::explainRequest({arguments.begin() + 1, arguments.end()}, std::cout,
                                       std::cerr);
    const quetzal::ctl_read_result reading = quetzal::readCommand(arguments);
    if (!reading.command && reading.error.empty()) {
        std::cout << reading.help;
        return 0;
    }
    const quetzal::ctl_result result
        = reading.command ? quetzal::run(*reading.command) : quetzal::usageError(reading.error);
    std::cout << result.output;
    std::cerr << result.error;
    return static_cast<int>(result.exit);
}
