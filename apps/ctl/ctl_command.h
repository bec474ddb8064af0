#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** A checked command line of quetzalctl. */
struct ctl_command
{
    /** The words of the verb, such as {"data-centre", "out"}. */
    std::vector<std::string> verb;
    /** File or name that the verb acts on; empty for verbs without one. */
    std::string operand;
    std::string admin = "http://127.0.0.1:9300";
    std::string tokenFile;
    /** Empty for the admin's default environment. */
    std::string environment;
    bool json = false;
    std::optional<std::int64_t> base;
    std::string digest;
    bool acceptDataCentres = false;
    std::int64_t waitMillis = 0;

    bool operator==(const ctl_command &) const = default;

    /** True when the words of the verb are these, such as "data-centre out". */
    bool is(const std::string &words) const;
    /** True when the verb changes the configuration. */
    bool isChange() const;
};

/** A command, or text to print before ending at once. */
struct ctl_reading
{
    std::optional<ctl_command> command;
    /** Help, when asked for. */
    std::string help;
    /** What is wrong and what to do, when the command line is at fault. */
    std::string error;
};

/** Reads the arguments that follow the program's name. */
ctl_reading readCommand(const std::vector<std::string> &arguments);

/** The HTTP call that a command makes. */
struct ctl_call
{
    std::string method;
    /** Path with query. */
    std::string target;
    /** True when the body is the file that the command names. */
    bool sendsFile = false;

    bool operator==(const ctl_call &) const = default;
};

/** The HTTP call of a command. */
ctl_call toCall(const ctl_command &command);

} // namespace quetzal
