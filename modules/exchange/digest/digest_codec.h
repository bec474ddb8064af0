#pragma once

#include "exchange/digest/load_digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Returns the digest encoded as one datagram (MessagePack). */
std::string encodeDigest(const peer_digest &digest);

/** Decodes a datagram; returns nothing if it is malformed or not a digest. */
std::optional<peer_digest> decodeDigest(std::string_view bytes);

} // namespace quetzal
