#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** The same moment on this router's clock and as time of day, which all routers roughly share. */
struct clock_reading
{
    absl::Time now;
    /** Unix milliseconds. */
    std::int64_t timeOfDayMs = 0;
};

/** Returns the text of a part's record in the key-value service. */
std::string encodePartRecord(const held_part &part, const clock_reading &clock);

/**
 * Returns what a record tells, in times of this router's clock; nothing if it is malformed. Times
 * of day may differ: a record is taken to be at least as old as the latest time in it.
 */
std::optional<held_part> decodePartRecord(std::string_view text, const clock_reading &clock);

} // namespace quetzal
