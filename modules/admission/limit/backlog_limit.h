#pragma once

#include <absl/time/time.h>

#include <optional>

namespace quetzal {

/** How much waiting work at the best target is accepted. */
struct backlog_limits
{
    /** For a workspace that got less than its share, over the time that the caller aims at. */
    double underShare = 1.0;
    /** For a workspace that got its share or more, while others ask for theirs. */
    double overShare = 0.25;
    /** How fast that falls when it got more: with this power of what it is owed over what it got.
     */
    double overSharePower = 2.0;

    bool operator==(const backlog_limits &) const = default;
};

/** What one workspace got within the window, and what it is owed. */
struct share_state
{
    double servedTokens = 0.0;
    /** Its max-min share; nothing while the capacity covers everything that is asked. */
    std::optional<double> fairShareTokens;

    bool operator==(const share_state &) const = default;
};

/**
 * The work at the best target above which a request is rejected at once.
 *
 * While the targets have room nobody is rejected, whatever it got before. When work waits, those
 * who got their share make way for those who did not, the more the further they are beyond it.
 */
absl::Duration backlogLimit(const share_state &share, absl::Duration latencyObjective,
                            const backlog_limits &limits);

} // namespace quetzal
