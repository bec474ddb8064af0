#include "emulator/caller/random_source.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace quetzal::bench {

double random_source::unit()
{
    constexpr int dropped = 11;
    constexpr double scale = 9007199254740992.0;
    return static_cast<double>(m_engine() >> dropped) / scale;
}

absl::Duration random_source::wait(double perSecond)
{
    if (perSecond <= 0.0)
        return absl::InfiniteDuration();
    return absl::Seconds(-std::log(1.0 - unit()) / perSecond);
}

double random_source::size(const size_distribution &distribution)
{
    if (distribution.logStdDev <= 0.0)
        return std::min(distribution.mean, distribution.max);
    const double radius = std::sqrt(-2.0 * std::log(1.0 - unit()));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * unit());
    const double logMean
        = std::log(distribution.mean) - distribution.logStdDev * distribution.logStdDev / 2.0;
    return std::min(std::exp(logMean + distribution.logStdDev * normal), distribution.max);
}

std::size_t random_source::pick(const std::vector<double> &weights)
{
    double sum = 0.0;
    for (const double weight : weights)
        sum += weight;
    double point = unit() * sum;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        point -= weights[index];
        if (point < 0.0)
            return index;
    }
    return weights.size() - 1;
}

std::vector<double> skewedWeights(int variantCount, double skew)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= variantCount; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -skew));
    return weights;
}

} // namespace quetzal::bench
