#pragma once

#include "configuration/document/configuration_document.h"
#include "foundation/json/json_reader.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** A valid document, or the faults that were found in it. */
struct document_read_result
{
    std::optional<configuration_document> document;
    std::vector<json_fault> faults;
};

/**
 * Parses and validates a document, which is JSON with comments.
 *
 * The result contains the document only if there are no faults. Unknown members, duplicate names,
 * references to undefined names and shares that are not positive are faults.
 */
document_read_result readDocument(std::string_view text);

/** Returns the canonical JSON of a document: equal documents produce equal text. */
std::string toCanonicalJson(const configuration_document &document);

} // namespace quetzal
