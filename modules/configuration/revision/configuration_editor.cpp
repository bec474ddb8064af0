#include "configuration/revision/configuration_editor.h"

#include "foundation/errors/precondition.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** Stores limit the number of operations in a transaction; etcd's default limit is 128. */
constexpr std::size_t maxDeletesPerTransaction = 100;

/** The head found in a view: absent if the view has none, malformed if it cannot be parsed. */
struct head_read_result
{
    std::optional<configuration_head> head;
    std::int64_t modRevision = 0;
    bool malformed = false;
};

head_read_result findHead(const configuration_keys &keys, const store_view &view)
{
    const auto record = view.records.find(keys.head());
    if (record == view.records.end())
        return {};
    head_read_result result {readHead(record->second.value), record->second.modRevision};
    result.malformed = !result.head.has_value();
    return result;
}

/** Returns the id of the write that created a revision, if the head still lists that write. */
std::optional<std::string> writeIdOf(const configuration_head &head, std::int64_t revision)
{
    if (head.revision == revision)
        return head.writeId;
    for (const revision_write &write : head.earlierWrites) {
        if (write.revision == revision)
            return write.writeId;
    }
    return std::nullopt;
}

} // namespace

configuration_editor::configuration_editor(configuration_editor_options options)
    : m_options(std::move(options))
    , m_keys {m_options.keyPrefix}
    , m_chunks(splitIntoChunks(m_options.text))
{
    QUETZAL_PRECONDITION(!m_options.writeId.empty());
}

editor_step configuration_editor::nextStep() const
{
    switch (m_phase) {
    case phase::ReadingBase:
    case phase::ReadingBack:
    case phase::ReadingConflictingHead:
        return store_read {};
    case phase::WritingChunks:
        return makeChunkWrite();
    case phase::WritingHead:
        return makeHeadWrite();
    case phase::Finished:
        break;
    }
    return m_result;
}

void configuration_editor::onView(const std::optional<store_view> &view)
{
    if (m_phase == phase::ReadingBase) {
        if (!view)
            return onUnansweredRequest(result_code::StoreUnavailable);
        onBaseView(*view);
    } else if (m_phase == phase::ReadingBack) {
        if (!view)
            return onUnansweredRequest(result_code::StoreOutcomeUnknown);
        onReadBackView(*view);
    } else if (m_phase == phase::ReadingConflictingHead) {
        if (!view)
            return onUnansweredRequest(result_code::RevisionConflict);
        onConflictingHeadView(*view);
    }
}

void configuration_editor::onReply(const store_reply &reply)
{
    if (m_phase == phase::WritingChunks) {
        if (reply.outcome == store_outcome::Unknown) {
            m_phase = phase::ReadingBase;
            return onUnansweredRequest(result_code::StoreUnavailable);
        }
        m_unansweredCount = 0;
        if (reply.outcome == store_outcome::Refused) {
            m_phase = phase::ReadingConflictingHead;
            return;
        }
        m_missingChunks.pop_back();
        if (m_missingChunks.empty())
            m_phase = phase::WritingHead;
    } else if (m_phase == phase::WritingHead) {
        if (reply.outcome == store_outcome::Done)
            return finish(result_code::Ok, m_head.revision, m_head.digest);
        if (reply.outcome == store_outcome::Unknown) {
            m_isHeadOutcomeUnknown = true;
            m_phase = phase::ReadingBack;
            return onUnansweredRequest(result_code::StoreOutcomeUnknown);
        }
        m_phase = m_isHeadOutcomeUnknown ? phase::ReadingBack : phase::ReadingConflictingHead;
    }
}

void configuration_editor::finish(result_code code, std::int64_t revision, std::string digest)
{
    m_phase = phase::Finished;
    m_result = {code, revision, std::move(digest)};
}

void configuration_editor::onUnansweredRequest(result_code code)
{
    ++m_unansweredCount;
    if (m_unansweredCount >= m_options.maxUnansweredRequests)
        finish(code);
}

void configuration_editor::onBaseView(const store_view &view)
{
    const head_read_result reading = findHead(m_keys, view);
    if (reading.malformed)
        return finish(result_code::StoredDocumentDamaged);
    const std::int64_t revision = reading.head ? reading.head->revision : 0;
    if (revision != m_options.baseRevision)
        return finish(result_code::RevisionConflict, revision,
                      reading.head ? reading.head->digest : std::string());
    m_baseModRevision = reading.modRevision;
    const std::size_t previousMissingCount = m_missingChunks.size();
    prepareHead(reading.head, view);
    if (m_missingChunks.size() < previousMissingCount)
        m_unansweredCount = 0;
    m_phase = m_missingChunks.empty() ? phase::WritingHead : phase::WritingChunks;
}

void configuration_editor::onReadBackView(const store_view &view)
{
    const head_read_result reading = findHead(m_keys, view);
    if (reading.malformed)
        return finish(result_code::StoreOutcomeUnknown);
    if (reading.modRevision == m_baseModRevision) {
        m_phase = phase::WritingHead;
        return;
    }
    if (!reading.head)
        return finish(result_code::StoreOutcomeUnknown);
    const std::optional<std::string> writeId = writeIdOf(*reading.head, m_head.revision);
    if (!writeId)
        return finish(result_code::StoreOutcomeUnknown, reading.head->revision,
                      reading.head->digest);
    if (*writeId == m_options.writeId)
        return finish(result_code::Ok, m_head.revision, m_head.digest);
    finish(result_code::RevisionConflict, reading.head->revision, reading.head->digest);
}

void configuration_editor::onConflictingHeadView(const store_view &view)
{
    const head_read_result reading = findHead(m_keys, view);
    if (!reading.head)
        return finish(result_code::RevisionConflict);
    finish(result_code::RevisionConflict, reading.head->revision, reading.head->digest);
}

void configuration_editor::prepareHead(const std::optional<configuration_head> &base,
                                       const store_view &view)
{
    m_head = {.revision = m_options.baseRevision + 1,
              .digest = sha256Hex(m_options.text),
              .writeId = m_options.writeId};
    m_missingChunks.clear();
    m_unusedChunks.clear();
    std::set<std::string> used;
    for (const document_chunk &chunk : m_chunks) {
        m_head.chunks.push_back(chunk.digest);
        const bool isNew = used.insert(m_keys.chunk(chunk.digest)).second;
        const auto stored = view.records.find(m_keys.chunk(chunk.digest));
        const bool isStored = stored != view.records.end() && stored->second.value == chunk.text;
        if (isNew && !isStored)
            m_missingChunks.push_back(chunk);
    }
    if (base) {
        m_head.earlierWrites = base->earlierWrites;
        m_head.earlierWrites.insert(m_head.earlierWrites.begin(), {base->revision, base->writeId});
        if (m_head.earlierWrites.size() > maxEarlierWrites)
            m_head.earlierWrites.resize(maxEarlierWrites);
        for (const std::string &digest : base->chunks)
            used.insert(m_keys.chunk(digest));
    }
    const std::string prefix = m_keys.chunkPrefix();
    for (auto record = view.records.lower_bound(prefix); record != view.records.end(); ++record) {
        if (!record->first.starts_with(prefix) || m_unusedChunks.size() == maxDeletesPerTransaction)
            break;
        if (!used.contains(record->first))
            m_unusedChunks.push_back(record->first);
    }
}

store_transaction configuration_editor::makeChunkWrite() const
{
    const document_chunk &chunk = m_missingChunks.back();
    return {.requestId = 0,
            .compares = {{m_keys.head(), m_baseModRevision}},
            .puts = {{m_keys.chunk(chunk.digest), chunk.text}},
            .deletes = {}};
}

store_transaction configuration_editor::makeHeadWrite() const
{
    return {.requestId = 0,
            .compares = {{m_keys.head(), m_baseModRevision}},
            .puts = {{m_keys.head(), toJson(m_head)}},
            .deletes = m_unusedChunks};
}

} // namespace quetzal
