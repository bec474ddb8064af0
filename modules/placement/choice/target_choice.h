#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** The properties of one target by which it is compared with others for a request. */
struct target_candidate
{
    std::string id;
    /** The known backlog of the target. */
    absl::Duration backlog;
    /** The time that the request itself occupies the target before its answer begins. */
    absl::Duration ownWork;
    /** The part of ownWork that a target with the shared prompt parts in its cache avoids. */
    absl::Duration repeatedWork;
    /** How long the oldest unanswered request at the target is overdue. */
    absl::Duration overdue;
    /** The decaying sum of the weights of recent failures. */
    double failures = 0.0;
    /** The ratio of requests at the target to the number that it processes at once. */
    double occupancy = 0.0;
    bool isInOwnDataCentre = false;
    /** The rendezvous-hashing weight of the target for the shared parts of the prompt. */
    std::uint64_t affinity = 0;
    /** The number of candidates with a higher affinity, or any number that is not near. */
    std::size_t affinityRank = 0;

    bool operator==(const target_candidate &) const = default;
};

/** The number of targets whose affinity rank counts. */
constexpr std::size_t nearTargets = 3;

/** The weights of these properties in the cost of a target. */
struct choice_weights
{
    /**
     * Factors of repeatedWork in the cost, by affinity rank. The near targets are the same for all
     * requests that share a prompt part, so that a full target has few others with it in their
     * caches, and not all of them.
     */
    std::array<double, nearTargets> repeatedWorkNear {0.0, 3.0, 6.0};
    /** The same factor for all other targets. */
    double repeatedWork = 10.0;
    /** Factor of the overdue time in the cost. */
    double overdue = 2.0;
    /** The cost of one recent failure. */
    absl::Duration failure = absl::Milliseconds(150);
    /** The cost of an occupancy of 1. */
    absl::Duration fullOccupancy = absl::Milliseconds(100);
    /** The cost of a target in another data centre. */
    absl::Duration otherDataCentre = absl::Milliseconds(3);

    /** Targets with this many recent failures are skipped while others are available. */
    double maxFailures = 1.5;

    bool operator==(const choice_weights &) const = default;
};

/** Sets the affinity ranks of the candidates. */
void rankByAffinity(std::vector<target_candidate> &candidates);

/** Returns the cost of a target for a request; the target with the lowest cost is chosen. */
absl::Duration costOf(const target_candidate &candidate, const choice_weights &weights);

/**
 * Returns the index of the best candidate; nothing if there are no candidates. @param maxBacklog
 * candidates with more known backlog are left out
 */
std::optional<std::size_t> chooseTarget(const std::vector<target_candidate> &candidates,
                                        const choice_weights &weights,
                                        absl::Duration maxBacklog = absl::InfiniteDuration());

} // namespace quetzal
