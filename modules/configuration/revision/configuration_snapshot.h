#pragma once

#include "configuration/document/configuration_document.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

/** One revision of the configuration with an index of its keys; not modified once created. */
struct configuration_snapshot
{
    std::int64_t revision = 0;
    /** SHA-256 digest of the text. */
    std::string digest;
    /** The document as canonical JSON. */
    std::string text;
    configuration_document document;
    /** Maps the SHA-256 digest of each key to its workspace's index in the document. */
    absl::flat_hash_map<std::string, std::size_t> workspaceByKeyDigest;

    /** Returns the workspace that has a key with this digest, or null if there is none. */
    const workspace_definition *findWorkspaceByKeyDigest(std::string_view keyDigest) const;
};

/** Creates the snapshot of a valid document and builds its key index. */
configuration_snapshot makeSnapshot(std::int64_t revision, std::string digest, std::string text,
                                    configuration_document document);

} // namespace quetzal
