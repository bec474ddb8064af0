#include "placement/choice/target_choice.h"

#include <algorithm>

namespace quetzal {

void rankByAffinity(std::vector<target_candidate> &candidates)
{
    std::vector<target_candidate *> order;
    for (target_candidate &candidate : candidates) {
        candidate.affinityRank = nearTargets;
        order.push_back(&candidate);
    }
    const std::size_t ranked = std::min(nearTargets, order.size());
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(ranked), order.end(),
        [](const auto *left, const auto *right) { return left->affinity > right->affinity; });
    for (std::size_t rank = 0; rank < ranked; ++rank)
        order[rank]->affinityRank = rank;
}

absl::Duration costOf(const target_candidate &candidate, const choice_weights &weights)
{
    absl::Duration cost = candidate.backlog + candidate.ownWork;
    const bool isNear = candidate.affinityRank < nearTargets;
    cost += candidate.repeatedWork
        * (isNear ? weights.repeatedWorkNear[candidate.affinityRank] : weights.repeatedWork);
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
