#include "forwarding/node/answer_times.h"

#include <algorithm>

namespace quetzal {

namespace {

/** Weights of a new sample in the moving average; most samples are below the result. */
constexpr double slowerWeight = 0.3;
constexpr double fasterWeight = 0.03;

double unitsOf(std::int64_t cost)
{
    return static_cast<double>(std::max<std::int64_t>(cost, 1));
}

} // namespace

void answer_times::onAnswered(const std::string &route, std::int64_t cost, absl::Duration time)
{
    const absl::Duration sample = time / unitsOf(cost);
    const auto [known, isFirst] = m_timePerUnit.try_emplace(route, sample);
    if (isFirst)
        return;
    const double weight = sample > known->second ? slowerWeight : fasterWeight;
    known->second += (sample - known->second) * weight;
}

std::optional<absl::Duration> answer_times::expected(const std::string &route,
                                                     std::int64_t cost) const
{
    const auto known = m_timePerUnit.find(route);
    if (known == m_timePerUnit.end())
        return std::nullopt;
    return known->second * unitsOf(cost);
}

} // namespace quetzal
