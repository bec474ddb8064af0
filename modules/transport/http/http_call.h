#pragma once

#include "transport/link/message_network.h"

#include <httplib.h>

#include <memory>
#include <optional>
#include <string>

namespace quetzal {

/** How long a call to the platform may take: connecting and writing, and waiting for each read. */
inline constexpr auto callConnectTimeout = std::chrono::milliseconds(200);
inline constexpr auto callReadTimeout = std::chrono::milliseconds(800);

/** A client for one call on a connection of its own, with the time limits above. */
std::unique_ptr<httplib::Client> makeCallClient(const endpoint &address);

/** The body of a 200 answer to GET, or nothing. */
std::optional<std::string> fetchBody(const endpoint &address, const std::string &path);

} // namespace quetzal
