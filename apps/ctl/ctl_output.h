#pragma once

#include "apps/ctl/ctl_command.h"
#include "apps/ctl/ctl_exit.h"

#include <nlohmann/json.hpp>

#include <string>

namespace quetzal {

/** The output and the exit code of quetzalctl. */
struct ctl_result
{
    ctl_exit exit = ctl_exit::Done;
    /** Text for standard output. */
    std::string output;
    /** Text for standard error: what failed and what to do next. */
    std::string error;

    bool operator==(const ctl_result &) const = default;
};

/** Formats the body of an answer and determines the exit code. */
ctl_result formatAnswer(const ctl_command &command, const std::string &body);

/** Formats the failure of a call without an answer; sent is true if the call may have arrived. */
ctl_result formatNoAnswer(const ctl_command &command, bool sent);

} // namespace quetzal
