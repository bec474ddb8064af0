#pragma once

#include <cstdint>

namespace quetzal {

/** The first member of each digest, which tells its kind and version. */
inline constexpr std::int64_t loadFormat = 2;
inline constexpr std::int64_t backlogFormat = 5;
inline constexpr std::int64_t quarantineFormat = 6;

} // namespace quetzal
