#include "apps/edge/edge_process.h"
#include "platform/settings_document.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <system_error>

namespace {

constexpr int exitSettings = 2;
constexpr int exitAddress = 3;
/** Blocks of this size, in bytes, go back to the system once they are freed. */
constexpr int minReturnedBlock = 131072;

int fail(quetzal::result_code code, const std::string &message, int exitCode)
{
    std::cerr << "quetzal-edge: " << static_cast<int>(code) << ' ' << message << '\n';
    return exitCode;
}

quetzal::edge_settings_read_result readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return {.settings = {}, .faults = {{.field = path, .message = "can't be opened"}}};
    std::ostringstream text;
    text << file.rdbuf();
    return quetzal::platform::readSettings(text.str());
}

} // namespace

int main(int argc, char **argv)
{
    // By default the allocator raises this with each large block, so that the memory of long bodies
    // stays with the process in pieces that others can't use.
    mallopt(M_MMAP_THRESHOLD, minReturnedBlock);
    namespace options = boost::program_options;
    const char *variable = std::getenv(quetzal::platform::settingsVariable);
    options::options_description description("quetzal-edge: takes callers' requests on the "
                                             "platform and sends them to targets");
    description.add_options()("help", "print this text")("version", "print the version")(
        "check-settings", "check the settings and exit")(
        "settings", options::value<std::string>()->default_value(variable ? variable : ""),
        "path of the settings file");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        return fail(quetzal::result_code::SettingsInvalid, error.what(), exitSettings);
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    if (values.count("version") > 0) {
        std::cout << QUETZAL_VERSION << '\n';
        return EXIT_SUCCESS;
    }
    const auto path = values["settings"].as<std::string>();
    const auto reading = readFile(path);
    for (const quetzal::settings_fault &fault : reading.faults)
        fail(quetzal::result_code::SettingsInvalid, fault.field + " " + fault.message,
             exitSettings);
    if (!reading.faults.empty())
        return exitSettings;
    if (values.count("check-settings") > 0) {
        std::cout << "settings: valid\n";
        return EXIT_SUCCESS;
    }
    try {
        quetzal::edge_process process(reading.settings, [path] { return readFile(path); });
        process.run();
    } catch (const std::system_error &error) {
        return fail(quetzal::result_code::AddressInUse, error.what(), exitAddress);
    }
    return EXIT_SUCCESS;
}
