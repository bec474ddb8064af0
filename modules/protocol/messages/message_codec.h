#pragma once

#include "protocol/messages/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Maximum size of an encoded message that decodeMessage accepts. */
inline constexpr std::size_t maxMessageBytes = 4 * 1024 * 1024;

/** Encodes a message as one byte with its index, then the Thrift compact protocol. */
std::string encodeMessage(const message &content);

/** Decodes a message; std::nullopt if the bytes are malformed or exceed maxMessageBytes. */
std::optional<message> decodeMessage(std::string_view bytes);

} // namespace quetzal
