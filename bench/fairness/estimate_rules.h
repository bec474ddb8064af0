#pragma once

#include "fairness/estimate/cost_estimator.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <concepts>
#include <string>

namespace quetzal::bench {

/** Requirements of fair_policy on a rule that estimates the costs of requests. */
template <typename rule_type>
concept estimate_rule
    = requires(rule_type &rule, const rule_type &constRule, const cost_features &features)
{
    {
        constRule.estimate(features, 0.0)
        } -> std::convertible_to<double>;
    rule.learn(features, 1.0);
};

/** Estimates no cost, so that a request is charged only when it ends. */
class no_estimate_rule
{
public:
    double estimate(const cost_features &, double) const { return 0.0; }
    void learn(const cost_features &, double) { }
};

/** Uses the hint as the estimate; with hints equal to the costs, the fair queue is exact. */
class hint_rule
{
public:
    double estimate(const cost_features &features, double streamed) const
    {
        return std::max(features.hint, streamed);
    }
    void learn(const cost_features &, double) { }
};

/** Multiplies the hint by the recent ratio of cost to hint of the workspace and request kind. */
class corrected_hint_rule
{
public:
    double estimate(const cost_features &features, double streamed) const
    {
        const auto found = m_sums.find(features.workspace + '\n' + features.requestKind);
        const double ratio = found == m_sums.end() ? 1.0 : found->second.cost / found->second.hint;
        return std::max(features.hint * ratio, streamed);
    }
    void learn(const cost_features &features, double cost)
    {
        sums &sumsOfKind = m_sums[features.workspace + '\n' + features.requestKind];
        sumsOfKind.cost = sumsOfKind.cost * decay + cost;
        sumsOfKind.hint = sumsOfKind.hint * decay + features.hint;
    }

private:
    /** Factor by which older samples lose weight with each new sample. */
    static constexpr double decay = 31.0 / 32.0;
    /** Exponentially weighted sums of the samples of a workspace and request kind. */
    struct sums
    {
        double cost = 0.0;
        double hint = 0.0;
    };

    absl::flat_hash_map<std::string, sums> m_sums;
};

/** Uses the moving average cost of the workspace and request kind, and ignores the hint. */
class mean_rule
{
public:
    explicit mean_rule(cost_estimator_options options)
        : m_estimator(options)
    {
    }
    double estimate(cost_features features, double streamed) const
    {
        features.hint = 0.0;
        return std::max(m_estimator.estimate(features), streamed);
    }
    void learn(cost_features features, double cost)
    {
        features.hint = 0.0;
        m_estimator.learn(features, cost);
    }

private:
    cost_estimator m_estimator;
};

static_assert(estimate_rule<no_estimate_rule> && estimate_rule<hint_rule>);
static_assert(estimate_rule<corrected_hint_rule> && estimate_rule<mean_rule>);
static_assert(estimate_rule<cost_estimator>);

} // namespace quetzal::bench
