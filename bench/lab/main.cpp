#include "lab/lab_report.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace options = boost::program_options;
using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr int exitOk = 0;
/** An invariant was violated in a run. */
constexpr int exitViolation = 1;
constexpr int exitUsage = 2;

struct arguments
{
    std::string experiment;
    std::string json;
    std::string html;
    int jobs = 2;
};

options::options_description describeOptions(arguments &values)
{
    options::options_description result("quetzal-lab EXPERIMENT [options]");
    auto add = result.add_options();
    add("help", "print this help");
    add("experiment", options::value(&values.experiment), "the experiment file");
    add("json", options::value(&values.json), "write everything measured to this file");
    add("html", options::value(&values.html), "write a page of plots to this file");
    add("jobs", options::value(&values.jobs), "runs at a time (2)");
    return result;
}

bool writeFile(const std::string &name, const std::string &text)
{
    if (name.empty())
        return true;
    std::ofstream file(name);
    file << text;
    file.close();
    if (file.fail())
        std::cerr << "can't write " << name << "\n";
    return !file.fail();
}

int run(const arguments &values)
{
    std::ifstream file(values.experiment);
    if (!file) {
        std::cerr << "can't read " << values.experiment << "\n";
        return exitUsage;
    }
    const std::string text {std::istreambuf_iterator<char>(file), {}};
    const experiment_parse_result parsed = readExperiment(text);
    if (!parsed.experiment) {
        std::cerr << toText(parsed.faults);
        return exitUsage;
    }
    const std::vector<lab_result> results = runAll(*parsed.experiment, values.jobs);
    std::cout << toTable(*parsed.experiment, results);
    if (!writeFile(values.json, toJson(*parsed.experiment, results))
        || !writeFile(values.html, toHtml(*parsed.experiment, results)))
        return exitUsage;
    bool hasViolations = false;
    for (const lab_result &result : results) {
        for (const std::string &violation : result.violations) {
            std::cout << result.variant << ", seed " << result.seed << ": " << violation << "\n";
            hasViolations = true;
        }
    }
    return hasViolations ? exitViolation : exitOk;
}

} // namespace

int main(int count, char **argumentValues)
{
    arguments values;
    const options::options_description described = describeOptions(values);
    options::positional_options_description positions;
    positions.add("experiment", 1);
    try {
        options::variables_map variables;
        options::store(options::command_line_parser(count, argumentValues)
                           .options(described)
                           .positional(positions)
                           .run(),
                       variables);
        options::notify(variables);
        if (variables.contains("help") || values.experiment.empty()) {
            std::cout << described;
            return variables.contains("help") ? exitOk : exitUsage;
        }
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitUsage;
    }
    return run(values);
}
