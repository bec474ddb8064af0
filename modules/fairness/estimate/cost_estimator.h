#pragma once

#include <absl/container/flat_hash_map.h>

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
};

/** Estimates the cost of a request before its end and learns from the ends of others. */
class cost_estimator
{
public:
    explicit cost_estimator(cost_estimator_options options);

    /** The expected cost; streamed units, when some are known, are the least it can be. */
    double estimate(const cost_features &features, double streamed = 0.0) const;
    /** Learns the cost of a request that ran to its end. */
    void learn(const cost_features &features, double cost);

private:
    cost_estimator_options m_options;
    absl::flat_hash_map<std::string, double> m_means;
};

} // namespace quetzal
