#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzal {

/** A range of the base text. */
struct copied_range
{
    std::size_t offset = 0;
    std::size_t length = 0;

    bool operator==(const copied_range &) const = default;
};

/** A part of the new text: a range of the base, or text that the base lacks. */
using delta_part = std::variant<copied_range, std::string>;

/**
 * What turns one canonical document into another.
 *
 * A node that has the base in force makes the new document from it and checks its digest; a node
 * that has another document asks for the whole one.
 */
struct document_delta
{
    /** SHA-256 of the text that the delta starts from. */
    std::string baseDigest;
    /** SHA-256 of the text that it makes. */
    std::string digest;
    std::vector<delta_part> parts;

    bool operator==(const document_delta &) const = default;
};

/** The delta from one text to another. */
document_delta makeDelta(std::string_view base, std::string_view text);

/** The new text; nothing when the base is another one or the digest comes out wrong. */
std::optional<std::string> applyDelta(const document_delta &delta, std::string_view base);

/** The delta as JSON. */
std::string toJson(const document_delta &delta);

/** Reads a delta; nothing when the text is not a well-formed one. */
std::optional<document_delta> readDelta(std::string_view text);

} // namespace quetzal
