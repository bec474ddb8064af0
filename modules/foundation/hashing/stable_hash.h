#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

/** A 64-bit hash that is the same on every VM and in every release (xxHash64). */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/**
 * The weight of a node for a key in rendezvous hashing: of several nodes the one with the highest
 * weight holds the key.
 */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/** The SHA-256 digest in lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view text);

} // namespace quetzal
