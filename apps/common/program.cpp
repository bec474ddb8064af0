#include "apps/common/program.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace quetzal {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

std::optional<program_invocation> readCommandLine(int argc, const char *const *argv,
                                                  const std::string &program, int &exitCode)
{
    namespace options = boost::program_options;
    options::options_description description("Usage: " + program + " --settings FILE");
    description.add_options()("settings", options::value<std::string>(),
                              "settings file, JSON with comments");
    description.add_options()("check-settings", "check the settings file and end");
    description.add_options()("help", "show this help and end");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        exitCode = usageExitCode;
        return std::nullopt;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        exitCode = 0;
        return std::nullopt;
    }
    if (values.count("settings") == 0) {
        std::cerr << program << ": name a settings file with --settings FILE\n";
        exitCode = usageExitCode;
        return std::nullopt;
    }
    const auto path = values["settings"].as<std::string>();
    std::ifstream file(path);
    if (!file) {
        std::cerr << program << ": cannot read " << path << "\n";
        exitCode = usageExitCode;
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return program_invocation {.settingsText = text.str(),
                               .checkOnly = values.count("check-settings") > 0};
}

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForTermination()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace quetzal
