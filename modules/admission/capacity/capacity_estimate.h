#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/** The requests that were placed at targets within a window, by all routers. */
struct placed_work
{
    double tokens = 0.0;
    /** The time for which they occupy targets before their answers begin. */
    absl::Duration work;

    bool operator==(const placed_work &) const = default;
};

/** The targets that can take a request now. */
struct target_pressure
{
    std::size_t targets = 0;
    /** The mean of their backlogs. */
    absl::Duration meanBacklog;

    bool operator==(const target_pressure &) const = default;
};

/** Settings of capacityTokens(). */
struct capacity_limits
{
    /** The part of their time in which targets process prompts at the intended backlog. */
    double utilization = 0.85;
    /** The mean backlog at which targets have work all the time and still begin it soon. */
    absl::Duration intendedBacklog = absl::Milliseconds(150);
    /** More backlog of one target counts as this much: full targets take no load off others. */
    absl::Duration maxCountedBacklog = absl::Milliseconds(300);
    /** The exponent of the ratio of the intended to the mean backlog, a factor of the capacity. */
    double backlogExponent = 0.5;
    /** The bounds of this factor. */
    double minFactor = 0.4;
    double maxFactor = 4.0;

    bool operator==(const capacity_limits &) const = default;
};

/**
 * Returns the tokens that targets can serve within a time; infinity if nothing was placed, or if no
 * target is known to be sound, since it is not for want of capacity then that requests are
 * rejected.
 *
 * It follows from the tokens that a unit of work brings and the number of targets, not from how
 * much was accepted, so that rejections don't lower it. Errors of the estimated work show in the
 * backlog: the capacity is raised while targets have less than intended, and lowered while they
 * have more.
 */
double capacityTokens(const placed_work &placed, const target_pressure &pressure,
                      absl::Duration time, const capacity_limits &limits);

} // namespace quetzal
