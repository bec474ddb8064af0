#pragma once

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** The identifier of a prompt part. */
using part_id = std::uint64_t;

/** One run of a target, from its start to its end. */
struct target_incarnation
{
    /** The stable hash of the target's id. */
    std::uint64_t target = 0;
    std::int64_t startedAtMs = 0;

    bool operator==(const target_incarnation &) const = default;
    auto operator<=>(const target_incarnation &) const = default;

    template <typename Hash>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Abseil looks for
    friend Hash AbslHashValue(Hash state, const target_incarnation &value)
    {
        return Hash::combine(std::move(state), value.target, value.startedAtMs);
    }
};

/** The moment at which the connections to a target broke. */
struct target_end
{
    target_incarnation target;
    /** The stable hash of the target's address. */
    std::uint64_t address = 0;
    absl::Time at;

    bool operator==(const target_end &) const = default;
};

/** The end of a target, and the shared prompt parts of requests that were in work there. */
struct target_loss
{
    target_end end;
    std::vector<part_id> parts;

    bool operator==(const target_loss &) const = default;
};

/** A part on which a target wrote an answer that began at this time. */
struct sound_part
{
    part_id part = 0;
    absl::Time at;

    bool operator==(const sound_part &) const = default;
};

/** A part whose requests are rejected, and why. */
struct held_part
{
    part_id part = 0;
    absl::Time since;
    /** Ends of targets that had requests with the part, at separate moments. */
    std::vector<target_end> ends;
    /** The number of requests that were let through to see whether the part is sound again. */
    int trials = 0;
    /** The time of the last one; the infinite past if there was none. */
    absl::Time lastTrialAt = absl::InfinitePast();

    bool operator==(const held_part &) const = default;
};

/** What one router tells the others about targets that ended and about prompt parts. */
struct quarantine_news
{
    std::vector<target_loss> losses;
    std::vector<sound_part> sound;
    std::vector<held_part> held;

    bool isEmpty() const { return losses.empty() && sound.empty() && held.empty(); }
    bool operator==(const quarantine_news &) const = default;
};

/** Returns the news with all times moved by a duration, such as to another router's clock. */
quarantine_news shifted(quarantine_news news, absl::Duration by);

} // namespace quetzal
