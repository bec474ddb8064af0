#pragma once

#include "foundation/random/random_source.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** How the requests of one kind look. */
struct kind_profile
{
    std::string name;
    /** Weight of an answered request in services that count answers. */
    double weight = 1.0;
    /** Median of the units produced, and the sigma of their log-normal distribution. */
    double medianUnits = 300.0;
    double sigma = 0.6;
    /** How often the kind is called, relative to the others. */
    double frequency = 1.0;
};

/** One service of a deployment under full load. */
struct workload
{
    std::string name;
    int targets = 18;
    /** Targets of the largest data centre, which is the size of a shard. */
    int targetsPerShard = 5;
    int slotsPerTarget = 8;
    /** True when service is counted in answered requests, false when in tokens. */
    bool countsAnswers = false;
    /** Units that a slot produces in a second. */
    double unitsPerSecond = 26.0;
    std::vector<kind_profile> kinds;
    std::vector<double> shares;
    /** Sigma of the log-normal factor by which hints are off. */
    double hintSigma = 0.5;
    /** The workspace whose hints are a tenth of the truth; -1 for none. */
    int misleadingWorkspace = -1;
    /** Part of the requests that are not answered whole. */
    double failureRate = 0.0;
    /** Arrivals of each workspace relative to the others; only arrival order minds them. */
    std::vector<double> arrivalRates;
};

/** One request of a workload. */
struct simulated_request
{
    int workspace = 0;
    std::string kind;
    /** Cost in the unit of the service. */
    double cost = 0.0;
    double hint = 0.0;
    double seconds = 0.0;
    bool isAnswered = true;
};

/** The requests of one workspace; the same seed gives the same requests under every policy. */
class request_stream
{
public:
    request_stream(const workload &load, int workspace, std::uint64_t seed);

    simulated_request next();

private:
    const kind_profile &drawKind();

    const workload *m_load;
    int m_workspace;
    random_source m_random;
};

/** The model service of Merrimack Valley: 18 engines, counted in tokens. */
workload rosterLlm();
/** The plain service of Merrimack Valley: 4 engines, counted in answered requests. */
workload rosterApp();
/** The model service of Luzalerta: 9 engines, counted in answered requests weighted by kind. */
workload redactor();
/** The plain service of Luzalerta: 3 engines, counted in answered requests. */
workload registo();

} // namespace quetzal::bench
