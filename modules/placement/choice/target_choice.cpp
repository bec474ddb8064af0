#include "placement/choice/target_choice.h"

#include <algorithm>

namespace quetzal {

absl::Duration costOf(const target_candidate &candidate, const choice_weights &weights)
{
    absl::Duration cost = candidate.backlog + candidate.ownWork;
    if (!candidate.hasHighestAffinity)
        cost += candidate.repeatedWork * weights.repeatedWork;
    cost += candidate.overdue * weights.overdue;
    cost += weights.failure * candidate.failures;
    cost += weights.fullOccupancy * candidate.occupancy;
    if (!candidate.isInOwnDataCentre)
        cost += weights.otherDataCentre;
    return cost;
}

std::optional<std::size_t> chooseTarget(const std::vector<target_candidate> &candidates,
                                        const choice_weights &weights, absl::Duration maxBacklog)
{
    const auto isHealthy = [&](const target_candidate &candidate) {
        return candidate.failures < weights.maxFailures;
    };
    const bool anyHealthy = std::any_of(candidates.begin(), candidates.end(), isHealthy);
    std::optional<std::size_t> best;
    absl::Duration bestCost = absl::InfiniteDuration();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (anyHealthy && !isHealthy(candidates[index]))
            continue;
        if (candidates[index].backlog > maxBacklog)
            continue;
        const absl::Duration cost = costOf(candidates[index], weights);
        const bool isBetter = !best || cost < bestCost
            || (cost == bestCost && candidates[index].affinity > candidates[*best].affinity);
        if (!isBetter)
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

} // namespace quetzal
