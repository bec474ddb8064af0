#pragma once

#include "foundation/json/json_reader.h"

#include <functional>
#include <string>

namespace quetzal::standins {

/** The part that differs between the stand-in programs. */
struct standin_program
{
    std::string name;
    /** Reads the settings and notes their faults in the reader. */
    std::function<void(json_reader &)> read;
    /** Starts listening; throws std::system_error when an address is taken. */
    std::function<void()> start;
    /** Ends gracefully. */
    std::function<void()> finish;
};

/**
 * Runs a stand-in until SIGTERM or SIGINT: parses the command line and the settings, starts and
 * finishes. Returns the exit code: 0 after a graceful end, 2 for faulty settings, 1 otherwise.
 */
int runStandin(int argc, char **argv, const standin_program &program);

} // namespace quetzal::standins
