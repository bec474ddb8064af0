#pragma once

#include "transport/link/message_network.h"

#include <httplib.h>

#include <memory>
#include <optional>
#include <string>

namespace quetzal {

/** Timeout of a call to the platform, a target or the store: for connecting and each write. */
inline constexpr auto callConnectTimeout = std::chrono::milliseconds(200);
/** Timeout of such a call for each read. */
inline constexpr auto callReadTimeout = std::chrono::milliseconds(800);

/** Returns a client with these timeouts for one call on its own connection. */
std::unique_ptr<httplib::Client> makeCallClient(const endpoint &address);

/** Sends a GET request; returns the body of an answer with status 200, otherwise nothing. */
std::optional<std::string> fetchBody(const endpoint &address, const std::string &path);

} // namespace quetzal
