#include "transport/settings/program_options_reader.h"

#include "foundation/errors/result_code.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

namespace quetzal {

namespace {

namespace options = boost::program_options;

options::options_description describeOptions()
{
    options::options_description described("Options");
    auto add = described.add_options();
    add("settings", options::value<std::string>()->value_name("FILE"),
        "settings of this process, JSON with comments");
    add("check-settings", "check the settings and end");
    add("help,h", "print this help and end");
    add("version", "print the version and end");
    return described;
}

options::variables_map parse(int count, const char *const *arguments,
                             const options::options_description &described)
{
    options::variables_map values;
    const options::positional_options_description noPositional;
    options::store(options::command_line_parser(count, arguments)
                       .options(described)
                       .positional(noPositional)
                       .run(),
                   values);
    options::notify(values);
    return values;
}

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream stream(path);
    if (!stream.is_open())
        return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream.good() || !text.good())
        return std::nullopt;
    return text.str();
}

} // namespace

program_options_reader::program_options_reader(program_description description, std::ostream &out,
                                               std::ostream &err)
    : m_description(std::move(description))
    , m_out(out)
    , m_err(err)
{
}

std::optional<int> program_options_reader::read(int argumentCount, const char *const *arguments,
                                                const settings_check &check)
{
    const options::options_description described = describeOptions();
    options::variables_map values;
    try {
        values = parse(argumentCount, arguments, described);
    } catch (const options::error &error) {
        return fail(error.what());
    }
    if (values.count("help") != 0) {
        m_out << m_description.summary << "\n\nUsage: " << m_description.name
              << " --settings FILE [--check-settings]\n\n"
              << described << "\nExit codes: 0 success, 1 failure while running, 2 wrong command "
              << "line or settings\n";
        return exitSuccess;
    }
    if (values.count("version") != 0) {
        m_out << m_description.name << " " << m_description.version << "\n";
        return exitSuccess;
    }
    if (values.count("settings") == 0)
        return fail("--settings FILE is missing");
    return readSettings(values["settings"].as<std::string>(), values.count("check-settings") != 0,
                        check);
}

std::optional<int> program_options_reader::readSettings(const std::string &file, bool checkOnly,
                                                        const settings_check &check)
{
    const std::optional<std::string> text = readFile(file);
    if (!text.has_value())
        return fail("cannot read the settings file " + file);
    json_parse_result parsed = parseJsonWithComments(*text);
    std::vector<json_fault> faults = std::move(parsed.faults);
    if (parsed.document.has_value())
        faults = check(*parsed.document);
    if (!faults.empty())
        return fail("the settings file " + file + " has faults:\n" + toText(faults));
    if (!checkOnly)
        return std::nullopt;
    m_out << "settings: valid\n";
    return exitSuccess;
}

int program_options_reader::fail(const std::string &problem)
{
    const result_code_entry &entry = describe(result_code::SettingsInvalid);
    m_err << m_description.name << ": error " << static_cast<int>(entry.code) << " " << entry.name
          << ": " << problem << (problem.ends_with('\n') ? "" : "\n") << "Try --help.\n";
    return exitUsage;
}

} // namespace quetzal
