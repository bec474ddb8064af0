#include "configuration/revision/configuration_follower.h"

#include "configuration/document/document_reader.h"
#include "foundation/hashing/stable_hash.h"

#include <utility>

namespace quetzal {

configuration_follower::configuration_follower(configuration_follower_options options)
    : m_keys {std::move(options.keyPrefix)}
{
}

adoption_result configuration_follower::onStoreView(const store_view &view)
{
    const auto record = view.records.find(m_keys.head());
    if (record == view.records.end())
        return adoption_result::HeadAbsent;
    const std::optional<configuration_head> head = readHead(record->second.value);
    if (!head)
        return adoption_result::HeadMalformed;
    if (head->revision <= revision())
        return adoption_result::NotNewer;
    const std::optional<std::string> text = joinChunks(*head, m_keys, view);
    if (!text)
        return adoption_result::ChunkMissing;
    return onDocument(head->revision, head->digest, *text);
}

adoption_result configuration_follower::onDocument(std::int64_t revision, const std::string &digest,
                                                   const std::string &text)
{
    if (revision <= this->revision())
        return adoption_result::NotNewer;
    if (sha256Hex(text) != digest)
        return adoption_result::DigestMismatch;
    document_read_result reading = readDocument(text);
    if (!reading.document)
        return adoption_result::DocumentInvalid;
    m_current = std::make_shared<const configuration_snapshot>(
        makeSnapshot(revision, digest, text, std::move(*reading.document)));
    return adoption_result::Adopted;
}

adoption_result configuration_follower::onDelta(std::int64_t revision, const document_delta &delta)
{
    if (revision <= this->revision())
        return adoption_result::NotNewer;
    if (m_current == nullptr)
        return adoption_result::DeltaNotApplicable;
    const std::optional<std::string> text = applyDelta(delta, m_current->text);
    if (!text)
        return adoption_result::DeltaNotApplicable;
    return onDocument(revision, delta.digest, *text);
}

std::optional<std::string> joinChunks(const configuration_head &head,
                                      const configuration_keys &keys, const store_view &view)
{
    std::string text;
    for (const std::string &digest : head.chunks) {
        const auto chunk = view.records.find(keys.chunk(digest));
        if (chunk == view.records.end())
            return std::nullopt;
        text += chunk->second.value;
    }
    return text;
}

} // namespace quetzal
