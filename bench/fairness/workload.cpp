#include "fairness/workload.h"

#include <algorithm>
#include <cmath>

namespace quetzal::bench {

namespace {

constexpr double maxUnits = 8192.0;
constexpr double misleadingFactor = 0.1;
constexpr double secondsBeforeFirstUnit = 0.2;

std::vector<double> sixteenShares()
{
    return {4, 3, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
}

/** Returns arrival rates equal to the shares, except for the last workspace: 20 times its share. */
std::vector<double> overloadArrivalRates()
{
    std::vector<double> arrivalRates = sixteenShares();
    arrivalRates.back() = 20.0;
    return arrivalRates;
}

workload plainService(std::string name, int targets)
{
    return {.name = std::move(name),
            .targets = targets,
            .targetsPerShard = 1,
            .slotsPerTarget = 8,
            .countsAnswers = true,
            .unitsPerSecond = 20.0,
            .kinds = {{.name = "call", .weight = 1.0, .medianUnits = 1.0, .sigma = 0.3}},
            .shares = sixteenShares(),
            .failureRate = 0.01,
            .arrivalRates = overloadArrivalRates()};
}

} // namespace

request_stream::request_stream(const workload &load, int workspace, std::uint64_t seed)
    : m_load(&load)
    , m_workspace(workspace)
    , m_random(seed * load.shares.size() + workspace)
{
}

const kind_profile &request_stream::drawKind()
{
    double sum = 0.0;
    for (const kind_profile &kind : m_load->kinds)
        sum += kind.frequency;
    double remaining = m_random.uniform() * sum;
    for (const kind_profile &kind : m_load->kinds) {
        remaining -= kind.frequency;
        if (remaining < 0.0)
            return kind;
    }
    return m_load->kinds.back();
}

simulated_request request_stream::next()
{
    const kind_profile &kind = drawKind();
    const double drawn = kind.medianUnits * std::exp(kind.sigma * m_random.normal());
    const double units = std::clamp(drawn, 1.0, maxUnits);
    const double hintFactor = std::exp(m_load->hintSigma * m_random.normal());
    const bool misleads = m_workspace == m_load->misleadingWorkspace;
    const bool isAnswered = m_random.uniform() >= m_load->failureRate;
    const double cost = m_load->countsAnswers ? kind.weight : units;
    const double hint = units * hintFactor * (misleads ? misleadingFactor : 1.0);
    return {.workspace = m_workspace,
            .kind = kind.name,
            .cost = cost,
            .hint = m_load->countsAnswers ? cost : hint,
            .seconds = secondsBeforeFirstUnit + units / m_load->unitsPerSecond,
            .isAnswered = isAnswered};
}

workload rosterLlm()
{
    return {.name = "roster-llm",
            .targets = 18,
            .targetsPerShard = 5,
            .kinds
            = {{.name = "reconciliation", .medianUnits = 1200.0, .sigma = 0.6, .frequency = 2.0},
               {.name = "answer", .medianUnits = 250.0, .sigma = 0.6, .frequency = 5.0},
               {.name = "notice", .medianUnits = 60.0, .sigma = 0.4, .frequency = 3.0}},
            .shares = sixteenShares(),
            .arrivalRates = overloadArrivalRates()};
}

workload rosterApp()
{
    return plainService("roster-app", 4);
}

workload redactor()
{
    return {.name = "redactor",
            .targets = 9,
            .targetsPerShard = 3,
            .countsAnswers = true,
            .kinds = {{.name = "letter", .weight = 4.0, .medianUnits = 600.0, .frequency = 2.0},
                      {.name = "summary", .weight = 2.0, .medianUnits = 300.0, .frequency = 4.0},
                      {.name = "note", .weight = 1.0, .medianUnits = 60.0, .frequency = 4.0}},
            .shares = sixteenShares(),
            .failureRate = 0.01,
            .arrivalRates = overloadArrivalRates()};
}

workload registo()
{
    return plainService("registo", 3);
}

} // namespace quetzal::bench
