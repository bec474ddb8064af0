#pragma once

#include "protocol/messages/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Most bytes that decodeMessage accepts. */
inline constexpr std::size_t maxMessageBytes = 4 * 1024 * 1024;

/** One byte naming the alternative, then the message in Thrift's compact protocol. */
std::string encodeMessage(const message &content);

/** The message, or nothing when the bytes are not a message of this protocol. */
std::optional<message> decodeMessage(std::string_view bytes);

} // namespace quetzal
