#include "standins/common/standin_program.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <system_error>

namespace quetzal::standins {

namespace {

namespace options = boost::program_options;

constexpr int exitInvalidSettings = 2;
constexpr int exitFailure = 1;

std::optional<std::string> parseCommandLine(int argc, char **argv, const std::string &name)
{
    options::options_description description(name + " options");
    description.add_options()("help", "print this help")(
        "settings", options::value<std::string>()->required(), "settings file, JSON with comments");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    options::notify(values);
    return values["settings"].as<std::string>();
}

std::vector<json_fault> readSettings(const std::string &path, const standin_program &program)
{
    std::ifstream file(path);
    if (!file)
        return {{path, "cannot be read"}};
    std::stringstream text;
    text << file.rdbuf();
    json_parse_result parsed = parseJsonWithComments(text.str());
    if (!parsed.document)
        return parsed.faults;
    std::vector<json_fault> faults;
    json_reader reader(*parsed.document, "", faults);
    program.read(reader);
    reader.reportUnknownMembers();
    return faults;
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int runStandin(int argc, char **argv, const standin_program &program)
{
    const sigset_t signals = blockStopSignals();
    try {
        const std::optional<std::string> path = parseCommandLine(argc, argv, program.name);
        if (!path)
            return 0;
        const std::vector<json_fault> faults = readSettings(*path, program);
        if (!faults.empty()) {
            std::cerr << toText(faults);
            return exitInvalidSettings;
        }
        program.start();
        std::cerr << program.name << " is ready\n";
        int signal = 0;
        sigwait(&signals, &signal);
        program.finish();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << program.name << ": " << error.what() << "\n";
        return exitFailure;
    }
}

} // namespace quetzal::standins
