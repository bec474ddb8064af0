#pragma once

#include "fairness/estimate/cost_estimator.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <concepts>
#include <string>

namespace quetzal::bench {

/** What the fair policy needs of a rule that estimates costs. */
template <typename rule_type>
concept estimate_rule
    = requires(rule_type &rule, const rule_type &constRule, const cost_features &features)
{
    {
        constRule.estimate(features, 0.0)
        } -> std::convertible_to<double>;
    rule.learn(features, 1.0);
};

/** Charges nothing before the end. */
class no_estimate_rule
{
public:
    double estimate(const cost_features &, double) const { return 0.0; }
    void learn(const cost_features &, double) { }
};

/** Charges the hint; with hints equal to the costs this is the exact queue. */
class hint_rule
{
public:
    double estimate(const cost_features &features, double streamed) const
    {
        return std::max(features.hint, streamed);
    }
    void learn(const cost_features &, double) { }
};

/** Charges the hint times the ratio of cost to hint that the workspace and kind has shown. */
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
    static constexpr double decay = 31.0 / 32.0;
    struct sums
    {
        double cost = 0.0;
        double hint = 0.0;
    };

    absl::flat_hash_map<std::string, sums> m_sums;
};

/** Charges the running mean of the workspace and kind. */
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
