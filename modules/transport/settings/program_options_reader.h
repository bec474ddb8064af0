#pragma once

#include "foundation/json/json_reader.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** Exit codes that every program shares. */
inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

/** What --help and --version say. */
struct program_description
{
    std::string name;
    std::string summary;
    std::string version;

    bool operator==(const program_description &) const = default;
};

/**
 * Reads the command line that every program shares and its settings file.
 *
 * --settings FILE names the settings, JSON with comments; --check-settings ends after the check;
 * --help and --version print and end. Faults are printed a line each with their path.
 */
class program_options_reader
{
public:
    /** Reads the settings' members and returns every fault. */
    using settings_check = std::function<std::vector<json_fault>(const nlohmann::json &)>;

    program_options_reader(program_description description, std::ostream &out, std::ostream &err);

    /**
     * Reads the arguments; returns the exit code when the program has nothing more to do: 0 after
     * --help, --version and valid --check-settings, 2 after faults. Returns nothing when the
     * program is to run with the settings that check accepted.
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
