#pragma once

#include "directory/mirror/mirror_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Encodes a complete listing for another router (MessagePack). */
std::string encodeMirror(const listing_page &page);

/** Decodes such a listing; returns nothing if it is malformed. */
std::optional<listing_page> decodeMirror(std::string_view bytes);

} // namespace quetzal
