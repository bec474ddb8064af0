#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzal {

/** A byte range of the base text that the new text contains. */
struct copied_range
{
    std::size_t offset = 0;
    std::size_t length = 0;

    bool operator==(const copied_range &) const = default;
};

/** A part of the new text: a range of the base text, or literal text. */
using delta_part = std::variant<copied_range, std::string>;

/**
 * The difference between two canonical documents.
 *
 * A node whose active document is the base applies the delta to it and checks the digest of the
 * result; a node with any other document requests the complete new one.
 */
struct document_delta
{
    /** SHA-256 digest of the base text. */
    std::string baseDigest;
    /** SHA-256 digest of the new text. */
    std::string digest;
    std::vector<delta_part> parts;

    bool operator==(const document_delta &) const = default;
};

/** Computes the delta from the base text to the new text. */
document_delta makeDelta(std::string_view base, std::string_view text);

/**
 * Applies a delta. Returns std::nullopt if the base has a different digest, a range lies outside
 * the base, the new text exceeds 64 MiB or the digest of the new text does not match.
 */
std::optional<std::string> applyDelta(const document_delta &delta, std::string_view base);

/** Serializes a delta as JSON. */
std::string toJson(const document_delta &delta);

/** Parses a delta; std::nullopt if the text is malformed. */
std::optional<document_delta> readDelta(std::string_view text);

} // namespace quetzal
