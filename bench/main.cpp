#include "fairness/fairness_report.h"
#include "slopes/slopes_report.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>

namespace options = boost::program_options;
using namespace quetzal::bench;

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;

struct arguments
{
    std::string verb;
    std::string output = "table";
    std::string only;
    std::uint64_t seed = 1;
    int minutes = 30;
};

options::options_description describeOptions(arguments &values)
{
    options::options_description result("quetzal-bench fairness|slopes [options]");
    auto add = result.add_options();
    add("help", "print this help");
    add("verb", options::value(&values.verb), "fairness or slopes");
    add("output", options::value(&values.output), "table or json");
    add("seed", options::value(&values.seed), "seed of the requests (1)");
    add("minutes", options::value(&values.minutes), "simulated minutes of each run (30)");
    add("only", options::value(&values.only), "run only the cases of this service");
    return result;
}

int runFairness(const arguments &values)
{
    std::vector<fairness_row> rows;
    for (const fairness_case &item : fairnessCases(values.seed, absl::Minutes(values.minutes))) {
        const std::string &service = item.options.load.name;
        if (values.only.empty() || values.only == service)
            rows.push_back({.service = service, .label = item.label, .result = run(item)});
    }
    std::cout << (values.output == "json" ? toJson(rows) + "\n" : toTable(rows));
    return exitOk;
}

int runSlopes(const arguments &values)
{
    const std::vector<slope_row> rows = measureSlopes();
    std::cout << (values.output == "json" ? toJson(rows) + "\n" : toTable(rows));
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    arguments values;
    const options::options_description described = describeOptions(values);
    options::positional_options_description positions;
    positions.add("verb", 1);
    try {
        options::variables_map parsed;
        options::store(
            options::command_line_parser(argc, argv).options(described).positional(positions).run(),
            parsed);
        options::notify(parsed);
        if (parsed.contains("help")) {
            std::cout << described;
            return exitOk;
        }
    } catch (const options::error &fault) {
        std::fprintf(stderr, "quetzal-bench: %s; see --help\n", fault.what());
        return exitUsage;
    }
    if (values.verb == "fairness")
        return runFairness(values);
    if (values.verb == "slopes")
        return runSlopes(values);
    std::fprintf(stderr, "quetzal-bench: say fairness or slopes; see --help\n");
    return exitUsage;
}
