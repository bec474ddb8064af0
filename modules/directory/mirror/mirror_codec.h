#pragma once

#include "directory/mirror/mirror_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** A whole listing as one router hands it to another (MessagePack). */
std::string encodeMirror(const listing_page &page);

/** Reads such a listing; nothing when it is damaged. */
std::optional<listing_page> decodeMirror(std::string_view bytes);

} // namespace quetzal
