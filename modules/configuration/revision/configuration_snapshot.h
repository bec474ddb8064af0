#pragma once

#include "configuration/document/configuration_document.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

/** One revision of the configuration; immutable once made. */
struct configuration_snapshot
{
    std::int64_t revision = 0;
    /** SHA-256 of the text. */
    std::string digest;
    /** The canonical document. */
    std::string text;
    configuration_document document;
    /** Index of the workspace in the document by the SHA-256 digest of each of its keys. */
    absl::flat_hash_map<std::string, std::size_t> workspaceByKeyDigest;

    /** The workspace that has a key with this digest, or null. */
    const workspace_definition *findWorkspaceByKeyDigest(std::string_view keyDigest) const;
};

/** A snapshot of a checked document with its index. */
configuration_snapshot makeSnapshot(std::int64_t revision, std::string digest, std::string text,
                                    configuration_document document);

} // namespace quetzal
