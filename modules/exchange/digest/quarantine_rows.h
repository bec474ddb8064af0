#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>

namespace quetzal {

/** The greatest age that is told; older times are told as if they had this one. */
inline constexpr std::int64_t maxAgeMs = std::int64_t {366} * 24 * 3600 * 1000;

/** Returns how old a time was when the message was made, in milliseconds. */
std::int64_t ageMs(absl::Time at, absl::Time madeAt);
/** Returns the time of this age, as if the message had been made at the Unix epoch. */
absl::Time readAge(const nlohmann::json &value);

/** Returns the members of an end or of a held part, with times as ages. */
nlohmann::json toRow(const target_end &end, absl::Time madeAt);
nlohmann::json toRow(const held_part &held, absl::Time madeAt);

/** Returns what the row tells, relative to the Unix epoch. Throws std::exception if malformed. */
target_end readEnd(const nlohmann::json &row);
held_part readHeld(const nlohmann::json &row);

} // namespace quetzal
