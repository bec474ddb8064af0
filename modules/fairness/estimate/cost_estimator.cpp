#include "fairness/estimate/cost_estimator.h"

#include <algorithm>

namespace quetzal {

namespace {

std::string keyOf(const cost_features &features)
{
    return features.workspace + '\n' + features.requestKind;
}

double squared(double value)
{
    return value * value;
}

} // namespace

cost_estimator::cost_estimator(cost_estimator_options options)
    : m_options(options)
{
}

double cost_estimator::meanOf(const record *known) const
{
    return known == nullptr || known->samples == 0.0 ? m_options.initialEstimate : known->mean;
}

double cost_estimator::correctedHint(const record *known, double hint) const
{
    if (known == nullptr || known->hintSum <= 0.0)
        return std::min(hint, m_options.largestRequest);
    return std::min(hint * known->costOfHintedSum / known->hintSum, m_options.largestRequest);
}

double cost_estimator::combine(const record *known, double hint) const
{
    const double mean = meanOf(known);
    if (hint <= 0.0)
        return mean;
    const double corrected = correctedHint(known, hint);
    if (known == nullptr || known->hintSamples == 0.0)
        return (mean + corrected) / 2.0;
    const double errors = known->meanError + known->hintError;
    if (errors <= 0.0)
        return corrected;
    return (mean * known->hintError + corrected * known->meanError) / errors;
}

double cost_estimator::estimate(const cost_features &features, double streamed) const
{
    if (m_options.hintIsCost)
        return std::min(features.hint, m_options.largestRequest);
    const auto found = m_records.find(keyOf(features));
    const record *known = found == m_records.end() ? nullptr : &found->second;
    const double expected = std::min(combine(known, features.hint), m_options.largestRequest);
    if (streamed <= 0.0)
        return expected;
    const double raised = std::max(expected, streamed);
    return raised + m_options.streamedWeight * (streamed - raised);
}

void cost_estimator::learn(const cost_features &features, double cost)
{
    if (m_options.hintIsCost)
        return;
    if (m_records.size() >= m_options.capacity && !m_records.contains(keyOf(features)))
        m_records.erase(m_records.begin());
    record &known = m_records[keyOf(features)];
    const double squaredMeanError = squared(meanOf(&known) - cost);
    known.samples = std::min(known.samples + 1.0, m_options.averagingSamples);
    known.mean += (cost - known.mean) / known.samples;
    known.meanError += (squaredMeanError - known.meanError) / known.samples;
    if (features.hint <= 0.0)
        return;
    const double squaredHintError = squared(correctedHint(&known, features.hint) - cost);
    known.hintSamples = std::min(known.hintSamples + 1.0, m_options.averagingSamples);
    known.hintError += (squaredHintError - known.hintError) / known.hintSamples;
    const double decay = 1.0 - 1.0 / m_options.averagingSamples;
    known.hintSum = known.hintSum * decay + features.hint;
    known.costOfHintedSum = known.costOfHintedSum * decay + cost;
}

} // namespace quetzal
