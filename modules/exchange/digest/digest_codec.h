#pragma once

#include "exchange/digest/load_digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** The digest as one datagram (MessagePack). */
std::string encodeDigest(const load_digest &digest);

/** Reads a datagram; nothing when it is damaged or not a digest. */
std::optional<load_digest> decodeDigest(std::string_view bytes);

} // namespace quetzal
