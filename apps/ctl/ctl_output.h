#pragma once

#include "apps/ctl/ctl_command.h"
#include "apps/ctl/ctl_exit.h"

#include <nlohmann/json.hpp>

#include <string>

namespace quetzal {

/** What quetzalctl prints and how it ends. */
struct ctl_result
{
    ctl_exit exit = ctl_exit::Done;
    /** For standard output. */
    std::string output;
    /** For standard error: what went wrong and what to do next. */
    std::string error;

    bool operator==(const ctl_result &) const = default;
};

/** Turns the body of an answer into what is printed. */
ctl_result formatAnswer(const ctl_command &command, const std::string &body);

/** What is printed when no answer came; sent tells whether the call may have reached the admin. */
ctl_result formatNoAnswer(const ctl_command &command, bool sent);

} // namespace quetzal
