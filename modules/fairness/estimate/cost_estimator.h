#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>

namespace quetzal {

/** What is known of a request before it runs. */
struct cost_features
{
    std::string workspace;
    std::string requestKind;
    /** The caller's hint in the service's unit; 0 when there is none. */
    double hint = 0.0;

    bool operator==(const cost_features &) const = default;
};

/** Options of cost_estimator. */
struct cost_estimator_options
{
    /** Estimate of a workspace and kind of which nothing is known. */
    double initialEstimate = 256.0;
    /** Estimates never exceed the largest request of the service. */
    double largestRequest = 4096.0;
    /** Weight of the newest sample once this many have been seen is one over this number. */
    double averagingSamples = 32.0;
    /** Part of the estimate that what has streamed replaces, in [0, 1]. */
    double streamedWeight = 0.8;
    /** True where the hint is the cost, as the weight of a kind is where answers are counted. */
    bool hintIsCost = false;
    /** Most workspaces and kinds remembered; beyond it one is forgotten for each new one. */
    std::size_t capacity = 65536;
};

/**
 * Estimates the cost of a request before its end and learns from the ends of others.
 *
 * For each workspace and kind it learns the mean cost and the bias of the hints, and how far each
 * of the two predictors has been off; the estimate weighs them by the inverse of their squared
 * error.
 */
class cost_estimator
{
public:
    explicit cost_estimator(cost_estimator_options options);

    /** The expected cost; streamed units, when some are known, are the least it can be. */
    double estimate(const cost_features &features, double streamed = 0.0) const;
    /** Learns the cost of a request that ran to its end. */
    void learn(const cost_features &features, double cost);
    /** Workspaces and kinds of which something is known. */
    std::size_t size() const { return m_records.size(); }

private:
    /** What is known of one workspace and kind. */
    struct record
    {
        double samples = 0.0;
        double mean = 0.0;
        double meanError = 0.0;
        double hintSamples = 0.0;
        double hintSum = 0.0;
        double costOfHintedSum = 0.0;
        double hintError = 0.0;
    };

    double meanOf(const record *known) const;
    double correctedHint(const record *known, double hint) const;
    double combine(const record *known, double hint) const;

    cost_estimator_options m_options;
    absl::flat_hash_map<std::string, record> m_records;
};

} // namespace quetzal
