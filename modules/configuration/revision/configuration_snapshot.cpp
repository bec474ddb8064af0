#include "configuration/revision/configuration_snapshot.h"

#include <absl/strings/string_view.h>

#include <utility>

namespace quetzal {

const workspace_definition *
configuration_snapshot::findWorkspaceByKeyDigest(std::string_view keyDigest) const
{
    const absl::string_view key(keyDigest.data(), keyDigest.size());
    const auto found = workspaceByKeyDigest.find(key);
    return found == workspaceByKeyDigest.end() ? nullptr : &document.workspaces[found->second];
}

configuration_snapshot makeSnapshot(std::int64_t revision, std::string digest, std::string text,
                                    configuration_document document)
{
    configuration_snapshot snapshot {.revision = revision,
                                     .digest = std::move(digest),
                                     .text = std::move(text),
                                     .document = std::move(document),
                                     .workspaceByKeyDigest = {}};
    for (std::size_t index = 0; index < snapshot.document.workspaces.size(); ++index) {
        for (const std::string &keyDigest : snapshot.document.workspaces[index].keyDigests)
            snapshot.workspaceByKeyDigest.emplace(keyDigest, index);
    }
    return snapshot;
}

} // namespace quetzal
