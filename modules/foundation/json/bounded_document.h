#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzal {

/** Bounds of a document written by another process, so that reading it takes bounded resources. */
struct document_bounds
{
    /** The number of arrays and objects that may enclose a value. */
    std::size_t maxDepth = 16;
    /** The number of values, including arrays and objects. */
    std::size_t maxValues = 4096;
};

/**
 * Parses JSON. Returns nothing if the text is malformed or exceeds the bounds; reading stops at the
 * first value that does. Of repeated members the last one counts.
 */
std::optional<nlohmann::json> readJson(std::string_view text, const document_bounds &bounds);

/** Parses MessagePack in the same way. */
std::optional<nlohmann::json> readMessagePack(std::string_view bytes,
                                              const document_bounds &bounds);

/** Returns a whole number within [minimum, maximum]; nothing for any other value. */
std::optional<std::int64_t> wholeNumber(const nlohmann::json &value, std::int64_t minimum,
                                        std::int64_t maximum);

/** Returns a whole number that is not negative; nothing for any other value. */
std::optional<std::uint64_t> unsignedNumber(const nlohmann::json &value);

/** Returns a number within [minimum, maximum]; nothing for any other value. */
std::optional<double> numberWithin(const nlohmann::json &value, double minimum, double maximum);

} // namespace quetzal
