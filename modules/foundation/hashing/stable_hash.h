#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

/** Returns a 64-bit xxHash64, which is identical on every VM and in every release. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/**
 * Returns the weight of a node for a key in rendezvous hashing. The node with the highest weight is
 * responsible for the key.
 */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/** Returns the SHA-256 digest of the text in lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view text);

} // namespace quetzal
