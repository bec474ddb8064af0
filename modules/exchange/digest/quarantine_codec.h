#pragma once

#include "exchange/digest/quarantine_digest.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace quetzal {

/** Returns the members of the digest, with times as ages in milliseconds. */
nlohmann::json toDocument(const quarantine_digest &digest);

/**
 * Returns the digest, with times that relate to the Unix epoch; nothing if the members are not
 * those that the sender wrote.
 */
std::optional<quarantine_digest> readQuarantine(const nlohmann::json &document);

} // namespace quetzal
