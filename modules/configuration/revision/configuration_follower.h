#pragma once

#include "configuration/revision/configuration_head.h"
#include "configuration/revision/configuration_snapshot.h"
#include "configuration/revision/document_delta.h"
#include "ownership/store/store_types.h"

#include <memory>
#include <string>

namespace quetzal {

/** Whether a follower adopted an offered document, or why it did not. */
enum class adoption_result
{
    Adopted,
    /** The revision is not higher than the active one. */
    NotNewer,
    /** The store has no head. */
    HeadAbsent,
    /** The head is malformed. */
    HeadMalformed,
    /** A chunk that the head references is missing. */
    ChunkMissing,
    /** The digest of the text differs from the given one. */
    DigestMismatch,
    /** The delta does not apply to the active document; request the complete document instead. */
    DeltaNotApplicable,
    /** The text is not a valid document. */
    DocumentInvalid,
};

/** Options of a configuration_follower. */
struct configuration_follower_options
{
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
};

/**
 * Holds the active configuration of one process and never returns to an earlier revision.
 *
 * Documents come from the store or from peers. A document is adopted if its revision is higher than
 * the active one, its digest matches and it is valid.
 */
class configuration_follower
{
public:
    explicit configuration_follower(configuration_follower_options options);

    /** Offers the configuration that a view of the store's keys contains. */
    adoption_result onStoreView(const store_view &view);
    /** Offers a complete canonical document, for example from a peer. */
    adoption_result onDocument(std::int64_t revision, const std::string &digest,
                               const std::string &text);

    /** Offers the document that results from applying a delta to the active one. */
    adoption_result onDelta(std::int64_t revision, const document_delta &delta);

    /** Returns the active configuration, or null before the first one is adopted. */
    std::shared_ptr<const configuration_snapshot> current() const { return m_current; }
    /** Returns the active revision, or 0 before the first configuration is adopted. */
    std::int64_t revision() const { return m_current ? m_current->revision : 0; }

private:
    configuration_keys m_keys;
    std::shared_ptr<const configuration_snapshot> m_current;
};

/** Concatenates the chunks of a head from a view; std::nullopt if a chunk is missing. */
std::optional<std::string> joinChunks(const configuration_head &head,
                                      const configuration_keys &keys, const store_view &view);

} // namespace quetzal
