#include "bench/load/fleet_reader.h"
#include "bench/load/load_report.h"
#include "bench/load/load_runner.h"
#include "bench/load/load_settings.h"
#include "bench/load/utilisation_series.h"
#include "configuration/document/document_reader.h"

#include <absl/time/clock.h>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace {

namespace options = boost::program_options;
using namespace quetzal;

constexpr int exitViolated = 1;
constexpr int exitUsage = 2;
/** No request received a complete answer, so the run proves nothing. */
constexpr int exitNothingAnswered = 3;
/** Time after a data centre is taken out in which executions may still start there. */
constexpr absl::Duration outageGrace = absl::Seconds(3);

struct command_line
{
    std::string settings;
    std::string output;
    std::string result;
    std::string windows;
};

std::optional<command_line> readCommandLine(int argc, char **argv)
{
    command_line line;
    options::options_description description("quetzal-load options");
    auto add = description.add_options();
    add("help", "print this help");
    add("settings", options::value(&line.settings)->required(),
        "settings file, JSON with comments");
    add("output", options::value(&line.output)->default_value("table"), "table or json");
    add("result", options::value(&line.result), "also write the JSON result to this file");
    add("windows", options::value(&line.windows),
        "file naming the times a data centre was out, read at the end");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout
            << description
            << "Exit codes: 0 all holds, 1 something that must hold did not, 2 faulty options "
               "or settings, 3 nothing was answered whole.\n";
        return std::nullopt;
    }
    options::notify(values);
    if (line.output != "table" && line.output != "json")
        throw std::runtime_error("--output must be table or json");
    return line;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error(path + " cannot be read");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

load_settings readSettings(const std::string &path)
{
    load_settings_read_result reading = readLoadSettings(readFile(path));
    if (!reading.faults.empty())
        throw std::runtime_error(toText(reading.faults));
    return reading.settings;
}

configuration_document readConfiguration(const std::string &path)
{
    document_read_result reading = readDocument(readFile(path));
    if (!reading.document)
        throw std::runtime_error(toText(reading.faults));
    return *reading.document;
}

/**
 * Returns the utilisation before, during and after the first outage, without the data centre that
 * is out of use during it; without an outage, that of the whole run.
 */
std::map<std::string, double> phaseUtilisation(const utilisation_series &series,
                                               const std::vector<outage_window> &windows,
                                               absl::Time start, absl::Time end)
{
    if (windows.empty())
        return {{"whole", series.utilisationBetween(start, end, {})}};
    const outage_window &window = windows.front();
    return {{"before", series.utilisationBetween(start, window.from, {})},
            {"out", series.utilisationBetween(window.from, window.to, {window.dataCentre})},
            {"after", series.utilisationBetween(window.to, end, {})}};
}

/** Returns the control bytes per second by VM, from two readings of the counters. */
std::map<std::string, double> byteRates(const std::map<std::string, double> &before,
                                        const std::map<std::string, double> &after,
                                        absl::Duration duration)
{
    std::map<std::string, double> result;
    for (const auto &[vm, bytes] : after) {
        const auto earlier = before.find(vm);
        const double earlierBytes = earlier == before.end() ? 0.0 : earlier->second;
        result[vm] = (bytes - earlierBytes) / absl::ToDoubleSeconds(duration);
    }
    return result;
}

std::int64_t answeredWhole(const load_statistics &statistics)
{
    std::int64_t whole = 0;
    for (const auto &[name, workspace] : statistics.workspaces())
        whole += workspace.whole;
    return whole;
}

int run(const command_line &line)
{
    const load_settings settings = readSettings(line.settings);
    const configuration_document document = readConfiguration(settings.documentPath);
    const fleet_reader fleet(settings);
    load_runner runner(settings, document);

    const auto bytesBefore = fleet.readControlBytes();
    const absl::Time start = absl::Now();
    utilisation_series series;
    absl::Time end = start;
    runner.run([&] {
        end = absl::Now();
        series.add(end, fleet.readSlotUsage());
    });
    load_measurements measurements;
    measurements.duration = end - start;
    measurements.controlBytesPerSecond
        = byteRates(bytesBefore, fleet.readControlBytes(), absl::Now() - start);

    const std::vector<logged_execution> executions = fleet.readExecutions();
    const std::vector<outage_window> windows = readOutageWindows(line.windows);
    measurements.violations = runner.statistics().reconcile(executions, windows, outageGrace);
    measurements.outageWindows = static_cast<int>(windows.size());
    measurements.utilisationByPhase = phaseUtilisation(series, windows, start, absl::Now());
    for (const load_target &target : settings.targets)
        measurements.utilisation[target.dataCentre] = series.utilisationOf(target.dataCentre);
    measurements.violations.coldLimitExceeded = fleet.readColdLimitExceeded();
    measurements.violations.gapsAboveBound = countGapsAboveBound(settings, document, runner.gaps());
    for (const logged_execution &execution : executions)
        ++measurements.executions[execution.dataCentre];

    const nlohmann::json report
        = reportJson(settings, document, runner.statistics(), runner.gaps(), measurements);
    std::cout << (line.output == "json" ? report.dump(2) + "\n" : reportTable(report));
    if (!line.result.empty())
        std::ofstream(line.result) << report.dump(2) << "\n";
    if (measurements.violations.any())
        return exitViolated;
    return answeredWhole(runner.statistics()) == 0 ? exitNothingAnswered : 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const std::optional<command_line> line = readCommandLine(argc, argv);
        return line ? run(*line) : 0;
    } catch (const std::exception &error) {
        std::cerr << "quetzal-load: " << error.what() << "\n";
        return exitUsage;
    }
}
