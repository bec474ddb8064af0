#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** What speaks for and against one target for one request. */
struct target_candidate
{
    std::string id;
    /** Work known to wait there. */
    absl::Duration backlog;
    /** Time that the request itself occupies the target before its answer begins. */
    absl::Duration ownWork;
    /** The part of ownWork that another target, which holds the prompt's parts, would save. */
    absl::Duration repeatedWork;
    absl::Duration overdue;
    /** Recent failures, fading out. */
    double failures = 0.0;
    /** Requests there over the number that it processes at once. */
    double occupancy = 0.0;
    bool isInOwnDataCentre = false;
    /** Rendezvous weight of the target for the request's shared parts. */
    std::uint64_t affinity = 0;
    /** True for the target with the highest affinity of all that are listed. */
    bool hasHighestAffinity = false;

    bool operator==(const target_candidate &) const = default;
};

/** How much each thing counts in the choice. */
struct choice_weights
{
    /** How many times work that another target would save counts on top. */
    double repeatedWork = 10.0;
    double overdue = 2.0;
    absl::Duration failure = absl::Milliseconds(150);
    absl::Duration fullOccupancy = absl::Milliseconds(100);
    absl::Duration otherDataCentre = absl::Milliseconds(3);

    /** With as many recent failures a target is passed over while there are others. */
    double maxFailures = 1.5;

    bool operator==(const choice_weights &) const = default;
};

/** The cost of a target for a request; the least is chosen. */
absl::Duration costOf(const target_candidate &candidate, const choice_weights &weights);

/** The position of the best candidate; nothing when there is none. */
std::optional<std::size_t> chooseTarget(const std::vector<target_candidate> &candidates,
                                        const choice_weights &weights);

} // namespace quetzal
