#pragma once

#include "foundation/json/json_reader.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** Exit codes shared by all programs. */
inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

/** Texts that --help and --version print. */
struct program_description
{
    std::string name;
    std::string summary;
    std::string version;

    bool operator==(const program_description &) const = default;
};

/**
 * Reads the command line shared by all programs, and the settings file.
 *
 * --settings FILE names the settings file, JSON with comments; --check-settings exits after the
 * check; --help and --version print and exit. Each fault is printed on one line with its path.
 */
class program_options_reader
{
public:
    /** Checks the members of the settings and returns all faults. */
    using settings_check = std::function<std::vector<json_fault>(const nlohmann::json &)>;

    program_options_reader(program_description description, std::ostream &out, std::ostream &err);

    /**
     * Reads the arguments. Returns the exit code if the program has nothing more to do: 0 after
     * --help, --version and --check-settings with valid settings, 2 after faults. Returns nothing
     * if the program is to run with the settings that check accepted.
     */
    std::optional<int> read(int argumentCount, const char *const *arguments,
                            const settings_check &check);

private:
    std::optional<int> readSettings(const std::string &file, bool checkOnly,
                                    const settings_check &check);
    int fail(const std::string &problem);

    program_description m_description;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace quetzal
