#pragma once

#include "directory/mirror/mirror_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Encodes a copy for another router (MessagePack). */
std::string encodeMirror(const mirror_copy &copy);

/**
 * Decodes such a copy; returns nothing if it is malformed. The copy of a router of an earlier
 * version does not tell its age, which is the maximum then.
 */
std::optional<mirror_copy> decodeMirror(std::string_view bytes);

} // namespace quetzal
