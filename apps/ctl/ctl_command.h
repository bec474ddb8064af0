#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** A validated command line of quetzalctl. */
struct ctl_command
{
    /** The words of the verb, such as {"data-centre", "out"}. */
    std::vector<std::string> verb;
    /** File or name that the verb operates on; empty for verbs without an operand. */
    std::string operand;
    /** URL of quetzal-admin. */
    std::string admin = "http://127.0.0.1:9300";
    std::string tokenFile;
    /** Empty for the default environment of quetzal-admin. */
    std::string environment;
    /** True to print JSON instead of tables. */
    bool json = false;
    /** Revision that was edited. */
    std::optional<std::int64_t> base;
    /** Digest of the document to promote. */
    std::string digest;
    /** True if a promotion may change a data centre's state. */
    bool acceptDataCentres = false;
    /** Time that a change waits to be in force on every VM. */
    std::int64_t waitMillis = 0;

    bool operator==(const ctl_command &) const = default;

    /** True if the verb consists of these words, such as "data-centre out". */
    bool is(const std::string &words) const;
    /** True if the verb changes the configuration. */
    bool isChange() const;
};

/** The result of reading a command line: a command, or a text to print before exiting. */
struct ctl_read_result
{
    std::optional<ctl_command> command;
    /** Help text, if it was requested. */
    std::string help;
    /** What is wrong with the command line and how to correct it. */
    std::string error;
};

/** Reads and validates the arguments that follow the program's name. */
ctl_read_result readCommand(const std::vector<std::string> &arguments);

/** The HTTP call that a command makes. */
struct ctl_call
{
    std::string method;
    /** Path with query. */
    std::string target;
    /** True if the body is the content of the file that the command names. */
    bool sendsFile = false;

    bool operator==(const ctl_call &) const = default;
};

/** Returns the HTTP call that performs a command. */
ctl_call toCall(const ctl_command &command);

} // namespace quetzal
