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

constexpr int violated = 1;
constexpr int usage = 2;
/** Nothing was answered whole, so that nothing is proved. */
constexpr int nothingAnswered = 3;
/** Time after the acceptance of an outage in which work may still begin there. */
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

/** Utilisation before, while and after data centres were out; only what stayed in use counts. */
std::map<std::string, double> phases(const utilisation_series &series,
                                     const std::vector<outage_window> &windows, absl::Time start,
                                     absl::Time end)
{
    if (windows.empty())
        return {{"whole", series.between(start, end, {})}};
    const outage_window &window = windows.front();
    return {{"before", series.between(start, window.from, {})},
            {"out", series.between(window.from, window.to, {window.dataCentre})},
            {"after", series.between(window.to, end, {})}};
}

/** Rates between two readings of control bytes. */
std::map<std::string, double> rates(const std::map<std::string, double> &before,
                                    const std::map<std::string, double> &after,
                                    absl::Duration duration)
{
    std::map<std::string, double> result;
    for (const auto &[vm, bytes] : after) {
        const auto earlier = before.find(vm);
        const double base = earlier == before.end() ? 0.0 : earlier->second;
        result[vm] = (bytes - base) / absl::ToDoubleSeconds(duration);
    }
    return result;
}

std::int64_t answeredWhole(const load_account &account)
{
    std::int64_t whole = 0;
    for (const auto &[name, workspace] : account.workspaces())
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
        series.add(end, fleet.readSlots());
    });
    load_findings findings;
    findings.duration = end - start;
    findings.controlBytesPerSecond
        = rates(bytesBefore, fleet.readControlBytes(), absl::Now() - start);

    const std::vector<logged_execution> executions = fleet.readExecutions();
    const std::vector<outage_window> windows = readWindows(line.windows);
    findings.violations = runner.account().reconcile(executions, windows, outageGrace);
    findings.outageWindows = static_cast<int>(windows.size());
    findings.utilisationByPhase = phases(series, windows, start, absl::Now());
    for (const load_target &target : settings.targets)
        findings.utilisation[target.dataCentre] = series.of(target.dataCentre);
    findings.violations.coldLimitExceeded = fleet.readColdLimitExceeded();
    findings.violations.gapsAboveBound = countGapsAboveBound(settings, document, runner.gaps());
    for (const logged_execution &execution : executions)
        ++findings.executions[execution.dataCentre];

    const nlohmann::json report
        = reportJson(settings, document, runner.account(), runner.gaps(), findings);
    std::cout << (line.output == "json" ? report.dump(2) + "\n" : reportTable(report));
    if (!line.result.empty())
        std::ofstream(line.result) << report.dump(2) << "\n";
    if (findings.violations.any())
        return violated;
    return answeredWhole(runner.account()) == 0 ? nothingAnswered : 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const std::optional<command_line> line = readCommandLine(argc, argv);
        return line ? run(*line) : 0;
    } catch (const std::exception &error) {
        std::cerr << "quetzal-load: " << error.what() << "\n";
        return usage;
    }
}
