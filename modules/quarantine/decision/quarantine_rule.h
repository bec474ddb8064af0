#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <absl/time/time.h>

#include <cstddef>
#include <span>
#include <vector>

namespace quetzal {

/** From which evidence on a prompt part is held. */
struct quarantine_limits
{
    /** Ends of targets that are closer together have one cause, such as the loss of a zone. */
    absl::Duration momentSpacing = absl::Milliseconds(600);
    /** The number of separate moments at which targets ended. */
    int moments = 3;
    /** The number if so many different targets ended that the part may crash them faster. */
    int momentsOfManyTargets = 2;
    int manyTargets = 5;
    /** How many more moments it takes if answers were written on the part not long before. */
    int extraMomentsOfSoundPart = 1;
    absl::Duration soundMemory = absl::Seconds(60);
    /** The number if all targets had the same address: that target may crash by itself. */
    int momentsAtOneAddress = 5;
    /** Ends that are further apart than this do not add up. */
    absl::Duration maxAge = absl::Minutes(10);
};

/** Returns the ends after the last answer on a part. @param ends in the order of time */
std::vector<target_end> endsSince(std::span<const target_end> ends, absl::Time soundAt,
                                  const quarantine_limits &limits);

/** Returns the number of separate moments of the ends. @param ends in the order of time */
int momentCount(std::span<const target_end> ends, const quarantine_limits &limits);

/**
 * True if the part is to be held. @param ends as returned by endsSince() @param soundAt when the
 * last answer began that a target wrote on the part; the infinite past if none is known
 */
bool mustHold(std::span<const target_end> ends, absl::Time soundAt,
              const quarantine_limits &limits);

/**
 * True if one more end would suffice to hold the part, so that the evidence must not be lost. Ends
 * at one moment do not count, whatever their number, and neither do those of one address.
 */
bool isNearlyHeld(std::span<const target_end> ends, absl::Time soundAt,
                  const quarantine_limits &limits);

/**
 * Returns at most maxCount of the ends: the first of each moment, then those of other addresses.
 * @param ends in the order of time
 */
std::vector<target_end> mostTellingEnds(std::span<const target_end> ends, std::size_t maxCount,
                                        const quarantine_limits &limits);

} // namespace quetzal
