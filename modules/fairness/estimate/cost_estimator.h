#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>

namespace quetzal {

/** The properties of a request that are known before it runs. */
struct cost_features
{
    std::string workspace;
    std::string requestKind;
    /** The caller's cost hint in the service's unit; 0 if there is none. */
    double hint = 0.0;

    bool operator==(const cost_features &) const = default;
};

/** Options of cost_estimator. */
struct cost_estimator_options
{
    /** Estimate for a workspace and request kind without samples. */
    double initialEstimate = 256.0;
    /** Cost of the largest request of the service; no estimate exceeds it. */
    double largestRequest = 4096.0;
    /**
     * Number of samples over which the moving averages extend. Once this many samples have been
     * learned, each new one has a weight of one over this number.
     */
    double averagingSamples = 32.0;
    /**
     * Weight, in [0, 1], of the units already streamed in the estimate for a running request.
     */
    double streamedWeight = 0.8;
    /**
     * True if the hint is the exact cost, for example the weight of a request kind in a service
     * that counts answered requests.
     */
    bool hintIsCost = false;
    /**
     * Maximum number of pairs of workspace and request kind. When it is reached, an arbitrary
     * record is removed for each new pair.
     */
    std::size_t capacity = 65536;
};

/**
 * Estimates the cost of a request that has not ended yet, and learns from completed requests.
 *
 * For each pair of workspace and request kind, the estimator maintains two predictors, the mean
 * cost and the hint corrected for its bias, together with the mean squared error of each. The
 * estimate weights the predictors by the inverse of their squared error.
 */
class cost_estimator
{
public:
    explicit cost_estimator(cost_estimator_options options);

    /**
     * Returns the expected cost. If units have already been streamed, they are a lower bound of
     * the cost.
     */
    double estimate(const cost_features &features, double streamed = 0.0) const;
    /** Learns from the cost of a completed request. */
    void learn(const cost_features &features, double cost);
    /** Returns the number of pairs of workspace and request kind that have a record. */
    std::size_t size() const { return m_records.size(); }

private:
    /** The learned state of one pair of workspace and request kind. */
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
