#pragma once

#include "foundation/random/random_source.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Distribution of the requests of one kind. */
struct kind_profile
{
    std::string name;
    /** Cost of an answered request in services that count answers. */
    double weight = 1.0;
    /** Median and sigma of the log-normal distribution of the units that a request produces. */
    double medianUnits = 300.0;
    double sigma = 0.6;
    /** Frequency of the kind, relative to the other kinds. */
    double frequency = 1.0;
};

/** A service of a deployment, with the load under which it is simulated. */
struct workload
{
    std::string name;
    int targets = 18;
    /** Number of targets in the largest data centre, which is the size of a shard. */
    int targetsPerShard = 5;
    int slotsPerTarget = 8;
    /** True if the service counts answered requests, false if it counts tokens. */
    bool countsAnswers = false;
    /** Units that a slot produces per second. */
    double unitsPerSecond = 26.0;
    std::vector<kind_profile> kinds;
    /** Share of each workspace. */
    std::vector<double> shares;
    /** Sigma of the log-normal factor by which hints differ from the true units. */
    double hintSigma = 0.5;
    /** Workspace whose hints are ten times too low; -1 for none. */
    int misleadingWorkspace = -1;
    /** Fraction of the requests that do not receive a complete answer. */
    double failureRate = 0.0;
    /**
     * Arrival rate of each workspace, relative to the others. Only arrival_order_policy depends on
     * it.
     */
    std::vector<double> arrivalRates;
};

/** A request of a workload. */
struct simulated_request
{
    int workspace = 0;
    std::string kind;
    /** Cost in the unit of the service. */
    double cost = 0.0;
    double hint = 0.0;
    /** Time that the request occupies a slot. */
    double seconds = 0.0;
    bool isAnswered = true;
};

/**
 * Generates the requests of one workspace. The same seed gives the same requests under every
 * policy.
 */
class request_stream
{
public:
    request_stream(const workload &load, int workspace, std::uint64_t seed);

    /** Returns the next request. */
    simulated_request next();

private:
    /** Draws a kind in proportion to the frequencies. */
    const kind_profile &drawKind();

    const workload *m_load;
    int m_workspace;
    random_source m_random;
};

/** Returns the model service of Merrimack Valley: 18 engines, counted in tokens. */
workload rosterLlm();
/** Returns the plain service of Merrimack Valley: 4 targets, counted in answered requests. */
workload rosterApp();
/**
 * Returns the model service of Luzalerta: 9 engines, counted in answered requests weighted by kind.
 */
workload redactor();
/** Returns the plain service of Luzalerta: 3 targets, counted in answered requests. */
workload registo();

} // namespace quetzal::bench
