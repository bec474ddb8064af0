#include "quarantine/decision/trial_schedule.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

namespace {

constexpr absl::Duration firstTrialAfter = absl::Seconds(30);
/** Factor by which the time to the next trial grows with each one, and how often it does. */
constexpr double trialBackoff = 4.0;
constexpr int maxTrialBackoffs = 3;
constexpr absl::Duration turnTime = absl::Seconds(1);
/** Fraction of a turn that is left free at each of its ends. */
constexpr double turnMargin = 0.2;

} // namespace

absl::Time nextTrialAt(const held_part &part)
{
    const absl::Time last = part.trials == 0 ? part.since : part.lastTrialAt;
    return last + firstTrialAfter * std::pow(trialBackoff, std::min(part.trials, maxTrialBackoffs));
}

bool mayTryNow(const held_part &part, const trial_turn &turn, absl::Time now)
{
    const absl::Duration sinceDue = now - nextTrialAt(part);
    if (sinceDue < absl::ZeroDuration() || turn.routers == 0)
        return false;
    const double turns = absl::FDivDuration(sinceDue, turnTime);
    const double inTurn = turns - std::floor(turns);
    const bool isOwnTurn = static_cast<std::size_t>(turns) % turn.routers == turn.rank;
    return isOwnTurn && inTurn >= turnMargin && inTurn <= 1.0 - turnMargin;
}

} // namespace quetzal
