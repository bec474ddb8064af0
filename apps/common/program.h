#pragma once

#include <functional>
#include <optional>
#include <string>

namespace quetzal {

/** What the command line of a program asks for. */
struct program_invocation
{
    std::string settingsText;
    bool checkOnly = false;
};

/**
 * Reads the command line (--settings FILE, --check-settings, --help) common to all programs.
 *
 * Returns nothing when the program should end at once with exitCode.
 */
std::optional<program_invocation> readCommandLine(int argc, const char *const *argv,
                                                  const std::string &program, int &exitCode);

/** Exit code for a faulty command line or settings file. */
inline constexpr int usageExitCode = 2;

/** Blocks SIGTERM and SIGINT in this thread and those it starts; call before any thread. */
void blockTerminationSignals();
/** Waits for SIGTERM or SIGINT. */
void waitForTermination();

} // namespace quetzal
