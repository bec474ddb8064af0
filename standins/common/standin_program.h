#pragma once

#include "foundation/json/json_reader.h"

#include <functional>
#include <string>

namespace quetzal::standins {

/** What a stand-in program supplies to runStandin(). */
struct standin_program
{
    std::string name;
    /** Reads the settings and reports invalid ones to the reader. */
    std::function<void(json_reader &)> read;
    /** Starts listening; throws std::system_error if an address is in use. */
    std::function<void()> start;
    /** Shuts down gracefully. */
    std::function<void()> finish;
};

/**
 * Runs a stand-in program until SIGTERM or SIGINT: parses the command line, reads the settings,
 * starts the servers and shuts them down. Returns the exit code: 0 after a graceful shutdown or
 * --help, 2 for invalid settings, 1 for any other failure.
 */
int runStandin(int argc, char **argv, const standin_program &program);

} // namespace quetzal::standins
