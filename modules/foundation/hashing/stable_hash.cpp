#include "foundation/hashing/stable_hash.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace quetzal {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    const absl::string_view bytes(reinterpret_cast<const char *>(digest.data()), digest.size());
    return absl::BytesToHexString(bytes);
}

} // namespace quetzal
