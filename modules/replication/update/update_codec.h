#pragma once

#include "replication/update/mirror_update.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/**
 * Encodes an update as datagrams (MessagePack) of at most maxBytes each.
 *
 * Changes that fit into no datagram are left out; a receiver sees from the revisions that it has
 * missed them. A difference is never divided.
 */
std::vector<std::string> encodeUpdate(const mirror_update &update, std::size_t maxBytes);

/** Decodes a datagram; returns nothing if it is malformed or not an update. */
std::optional<mirror_update> decodeUpdate(std::string_view bytes);

} // namespace quetzal
