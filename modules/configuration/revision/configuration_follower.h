#pragma once

#include "configuration/revision/configuration_head.h"
#include "configuration/revision/configuration_snapshot.h"
#include "configuration/revision/document_delta.h"
#include "ownership/store/store_types.h"

#include <memory>
#include <string>

namespace quetzal {

/** What a follower did with a document that it was offered. */
enum class adoption_result
{
    Adopted,
    /** Not a higher revision than the one in force. */
    NotNewer,
    /** The store has no head. */
    HeadAbsent,
    /** The head is not well-formed. */
    HeadMalformed,
    /** A chunk that the head names is missing. */
    ChunkMissing,
    /** The text has another digest than the one given. */
    DigestMismatch,
    /** The delta does not fit the document in force; ask for the whole document. */
    DeltaNotApplicable,
    /** The text is not a document without faults. */
    DocumentInvalid,
};

/** Options of configuration_follower. */
struct configuration_follower_options
{
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
};

/**
 * Holds the configuration in force at one process and never goes back to an earlier revision.
 *
 * Documents come from the store or from peers; a document is adopted when its revision is higher,
 * its digest is right and it has no fault.
 */
class configuration_follower
{
public:
    explicit configuration_follower(configuration_follower_options options);

    /** Takes the configuration out of a view of the store's keys. */
    adoption_result onStoreView(const store_view &view);
    /** Takes a whole canonical document from a peer. */
    adoption_result onDocument(std::int64_t revision, const std::string &digest,
                               const std::string &text);

    /** Takes the document that a delta makes of the one in force. */
    adoption_result onDelta(std::int64_t revision, const document_delta &delta);

    /** The configuration in force; null before the first. */
    std::shared_ptr<const configuration_snapshot> current() const { return m_current; }
    /** The revision in force; 0 before the first. */
    std::int64_t revision() const { return m_current ? m_current->revision : 0; }

private:
    configuration_keys m_keys;
    std::shared_ptr<const configuration_snapshot> m_current;
};

/** The text that a head's chunks make up in a view; nothing when a chunk is missing. */
std::optional<std::string> joinChunks(const configuration_head &head,
                                      const configuration_keys &keys, const store_view &view);

} // namespace quetzal
