#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/** The place of a router in the order in which the routers may try a held part. */
struct trial_turn
{
    std::size_t rank = 0;
    std::size_t routers = 1;

    bool operator==(const trial_turn &) const = default;
};

/** Returns from when on a request with a held part may be let through; later after each trial. */
absl::Time nextTrialAt(const held_part &part);

/**
 * True if a trial is due and it is this router's turn. The turns of the routers follow each other
 * with gaps, so that no two of them try at the same time although their clocks differ.
 */
bool mayTryNow(const held_part &part, const trial_turn &turn, absl::Time now);

} // namespace quetzal
