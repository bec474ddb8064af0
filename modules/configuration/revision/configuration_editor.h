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

/** Options of configuration_editor. */
struct configuration_editor_options
{
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
    /** Identifies this change; unique among all changes of the environment. */
    std::string writeId;
    /** Revision that the change is made on; 0 for the first configuration. */
    std::int64_t baseRevision = 0;
    /** The canonical document, without faults. */
    std::string text;
    /** How many requests in a row may remain unanswered before the change is given up. */
    int maxUnansweredRequests = 5;
};

/** How a change ended. */
struct configuration_change_result
{
    /** Ok, RevisionConflict, StoreUnavailable, StoreOutcomeUnknown or StoredDocumentDamaged. */
    result_code code = result_code::Ok;
    /** The revision written, for Ok; the revision in force, for RevisionConflict (0: not read). */
    std::int64_t revision = 0;
    /** Digest of the document of that revision. */
    std::string digest;

    bool operator==(const configuration_change_result &) const = default;
};

/** Asks for a view of all keys below the prefix. */
struct store_read
{
    bool operator==(const store_read &) const = default;
};

/** What the owner of an editor must do next: read, write, or take the result. */
using editor_step = std::variant<store_read, store_transaction, configuration_change_result>;

/**
 * One change of the configuration, driven by the store's answers.
 *
 * The chunks that the store lacks are written first, then the head by compare-and-swap; every write
 * holds only while the head is the one that was read. The write of the head also deletes the chunks
 * that neither the new head nor the one before it names. When the outcome of the head's write is
 * unknown the editor reads back and looks for its write id.
 */
class configuration_editor
{
public:
    explicit configuration_editor(configuration_editor_options options);

    /** The step that is due; the same until onView or onReply was called. */
    editor_step nextStep() const;
    /** The answer to a store_read; nothing when the store did not answer. */
    void onView(const std::optional<store_view> &view);
    /** The answer to a store_transaction. */
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
    /** True when a write of the head may still take effect. */
    bool m_isHeadOutcomeUnknown = false;
    configuration_change_result m_result;
};

} // namespace quetzal
