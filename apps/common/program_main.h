#pragma once

#include "transport/process/termination_signal.h"
#include "transport/settings/program_options_reader.h"

#include <iostream>
#include <string_view>

namespace quetzal {

/**
 * Implements main() of a program: reads the command line and the settings file, then calls run.
 *
 * Reading must have the members settings and faults. Returns the exit code of the program.
 */
template <typename Reading, typename Settings>
int programMain(int argumentCount, const char *const *arguments,
                const program_description &description, Reading (*readSettings)(std::string_view),
                int (*run)(const Settings &settings, const termination_signal &signal))
{
    const termination_signal signal;
    Reading reading;
    program_options_reader reader(description, std::cout, std::cerr);
    const auto exitCode
        = reader.read(argumentCount, arguments, [&](const nlohmann::json &document) {
              reading = readSettings(document.dump());
              return reading.faults;
          });
    return exitCode ? *exitCode : run(reading.settings, signal);
}

} // namespace quetzal
