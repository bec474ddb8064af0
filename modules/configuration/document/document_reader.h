#pragma once

#include "configuration/document/configuration_document.h"
#include "foundation/json/json_reader.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** A checked document, or its faults. */
struct document_read_result
{
    std::optional<configuration_document> document;
    std::vector<json_fault> faults;
};

/**
 * Reads and checks a whole document; the text is JSON with comments.
 *
 * The document is present only when there is no fault. Unknown members, repeated names, references
 * to undefined names and shares that are not positive are faults.
 */
document_read_result readDocument(std::string_view text);

/** The canonical JSON of a document: equal documents give equal text. */
std::string toCanonicalJson(const configuration_document &document);

} // namespace quetzal
