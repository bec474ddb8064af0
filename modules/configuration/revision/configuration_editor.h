#pragma once

#include "configuration/revision/configuration_head.h"
#include "configuration/revision/document_chunks.h"
#include "foundation/errors/result_code.h"
#include "ownership/store/store_types.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** Options of a configuration_editor. */
struct configuration_editor_options
{
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
    /** Identifies this change; unique among all changes of the environment. Must not be empty. */
    std::string writeId;
    /** Revision on which the change is based; 0 for the first configuration. */
    std::int64_t baseRevision = 0;
    /** The valid document as canonical JSON. */
    std::string text;
    /** Number of consecutive unanswered requests after which the change is abandoned. */
    int maxUnansweredRequests = 5;
};

/** The result of a change. */
struct configuration_change_result
{
    /** Ok, RevisionConflict, StoreUnavailable, StoreOutcomeUnknown or StoredDocumentDamaged. */
    result_code code = result_code::Ok;
    /** For Ok, the revision written; for RevisionConflict, the active revision, 0 if unknown. */
    std::int64_t revision = 0;
    /** SHA-256 digest of that revision's document. */
    std::string digest;

    bool operator==(const configuration_change_result &) const = default;
};

/** Requests a view of all keys below the prefix. */
struct store_read
{
    bool operator==(const store_read &) const = default;
};

/** The next action for the owner of an editor: read, write, or take the result. */
using editor_step = std::variant<store_read, store_transaction, configuration_change_result>;

/**
 * State machine for one change of the configuration, driven by the answers of the store.
 *
 * Writes the chunks that the store lacks, then the head. Every write is a transaction that succeeds
 * only while the head is still the one that was read. The transaction for the head also deletes
 * chunks that neither the new head nor its predecessor references. If the outcome of that
 * transaction is unknown, the editor reads the store again and looks for its write id.
 */
class configuration_editor
{
public:
    explicit configuration_editor(configuration_editor_options options);

    /** Returns the next step; the result stays the same until onView or onReply is called. */
    editor_step nextStep() const;
    /** Handles the answer to a store_read; std::nullopt if the store did not answer. */
    void onView(const std::optional<store_view> &view);
    /** Handles the answer to a store_transaction. */
    void onReply(const store_reply &reply);

private:
    enum class phase
    {
        ReadingBase,
        WritingChunks,
        WritingHead,
        ReadingBack,
        ReadingConflictingHead,
        Finished,
    };

    void finish(result_code code, std::int64_t revision = 0, std::string digest = {});
    void onUnansweredRequest(result_code code);
    void onBaseView(const store_view &view);
    void onReadBackView(const store_view &view);
    void onConflictingHeadView(const store_view &view);
    void prepareHead(const std::optional<configuration_head> &base, const store_view &view);
    store_transaction makeChunkWrite() const;
    store_transaction makeHeadWrite() const;

    configuration_editor_options m_options;
    configuration_keys m_keys;
    std::vector<document_chunk> m_chunks;
    std::vector<document_chunk> m_missingChunks;
    configuration_head m_head;
    std::int64_t m_baseModRevision = 0;
    std::vector<std::string> m_unusedChunks;
    phase m_phase = phase::ReadingBase;
    int m_unansweredCount = 0;
    /** True if a write of the head has an unknown outcome and may still take effect. */
    bool m_isHeadOutcomeUnknown = false;
    configuration_change_result m_result;
};

} // namespace quetzal
