#include "fake_store.h"
#include "sample_documents.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <optional>
#include <set>

using namespace quetzal;

namespace {

const std::string prefix = "/quetzal/test";

configuration_editor makeEditor(std::int64_t base, const std::string &text,
                                const std::string &writeId)
{
    return configuration_editor(
        {.keyPrefix = prefix, .writeId = writeId, .baseRevision = base, .text = text});
}

/** Performs one step of an editor; returns the result once the change has ended. */
std::optional<configuration_change_result> perform(configuration_editor &editor, fake_store &store,
                                                   store_fault fault = store_fault::None)
{
    const editor_step step = editor.nextStep();
    if (const auto *result = std::get_if<configuration_change_result>(&step))
        return *result;
    if (const auto *transaction = std::get_if<store_transaction>(&step))
        editor.onReply(store.perform(*transaction, fault));
    else
        editor.onView(store.read(fault));
    return std::nullopt;
}

configuration_change_result runToEnd(configuration_editor &editor, fake_store &store)
{
    std::optional<configuration_change_result> result;
    while (!result)
        result = perform(editor, store);
    return *result;
}

configuration_change_result apply(fake_store &store, std::int64_t base, const std::string &text,
                                  const std::string &writeId)
{
    configuration_editor editor = makeEditor(base, text, writeId);
    return runToEnd(editor, store);
}

/** The documents that concurrent editors write; large ones have several chunks, some shared. */
const std::vector<std::string> &raceTexts()
{
    static const std::vector<std::string> texts {
        toCanonicalJson(sampleDocument(600, 1.0)), toCanonicalJson(sampleDocument(600, 2.0)),
        toCanonicalJson(sampleDocument(3, 1.0)), toCanonicalJson(sampleDocument(3, 2.0))};
    return texts;
}

/** Compares the results that the editors returned with the revisions that the store accepted. */
class acceptance_oracle
{
public:
    /** Records the head if it is new; checks its revision and that its chunks form the document. */
    void observe(const store_view &view)
    {
        const configuration_keys keys {prefix};
        const auto record = view.records.find(keys.head());
        if (record == view.records.end())
            return;
        const auto head = readHead(record->second.value);
        RC_ASSERT(head.has_value());
        if (!m_acceptedWriteIds.empty() && head->writeId == m_acceptedWriteIds.back())
            return;
        m_acceptedWriteIds.push_back(head->writeId);
        RC_ASSERT(head->revision == static_cast<std::int64_t>(m_acceptedWriteIds.size()));
        const auto text = joinChunks(*head, keys, view);
        RC_ASSERT(text.has_value());
        RC_ASSERT(sha256Hex(*text) == head->digest);
    }

    void recordResult(const std::string &writeId, const configuration_change_result &result)
    {
        m_results[writeId] = result;
    }

    void check() const
    {
        for (const auto &[writeId, result] : m_results) {
            const auto times
                = std::count(m_acceptedWriteIds.begin(), m_acceptedWriteIds.end(), writeId);
            if (result.code == result_code::Ok) {
                RC_ASSERT(times == 1);
                RC_ASSERT(m_acceptedWriteIds.at(result.revision - 1) == writeId);
            } else if (result.code != result_code::StoreOutcomeUnknown) {
                RC_ASSERT(times == 0);
            }
        }
    }

private:
    std::vector<std::string> m_acceptedWriteIds;
    std::map<std::string, configuration_change_result> m_results;
};

/** Concurrent editors and followers of one store, driven by a sequence of events. */
class editor_race
{
public:
    enum class event
    {
        Step,
        StepAnswerLost,
        StepRequestLost,
        StepDelayed,
        ReleaseDelayed,
        Follow,
        FollowOldView,
        SendToPeer,
    };

    void handleEvent(event event, int participant)
    {
        switch (event) {
        case event::Step:
            return step(participant, store_fault::None);
        case event::StepAnswerLost:
            return step(participant, store_fault::AnswerLost);
        case event::StepRequestLost:
            return step(participant, store_fault::RequestLost);
        case event::StepDelayed:
            return step(participant, store_fault::Delayed);
        case event::ReleaseDelayed:
            m_store.releaseDelayed();
            return m_oracle.observe(m_store.view());
        case event::Follow:
            m_views.push_back(m_store.view());
            return follow(participant, m_views.back());
        case event::FollowOldView:
            if (!m_views.empty())
                follow(participant, m_views[participant % m_views.size()]);
            return;
        case event::SendToPeer:
            return sendToPeer(participant, (participant + 1) % editorCount);
        }
    }

    void finish()
    {
        while (m_store.releaseDelayed())
            m_oracle.observe(m_store.view());
        m_oracle.check();
    }

    static constexpr int editorCount = 3;

private:
    void step(int participant, store_fault fault)
    {
        if (!m_editors[participant]) {
            m_writeIds[participant] = "write-" + std::to_string(++m_writeCount);
            m_editors[participant] = makeEditor(m_followers[participant].revision(),
                                                raceTexts()[m_writeCount % raceTexts().size()],
                                                m_writeIds[participant]);
        }
        const auto result = perform(*m_editors[participant], m_store, fault);
        m_oracle.observe(m_store.view());
        if (!result)
            return;
        m_oracle.recordResult(m_writeIds[participant], *result);
        m_editors[participant].reset();
    }

    void follow(int participant, const store_view &view)
    {
        const std::int64_t before = m_followers[participant].revision();
        m_followers[participant].onStoreView(view);
        RC_ASSERT(m_followers[participant].revision() >= before);
    }

    void sendToPeer(int from, int to)
    {
        const auto snapshot = m_followers[from].current();
        if (!snapshot)
            return;
        const std::int64_t before = m_followers[to].revision();
        m_followers[to].onDocument(snapshot->revision, snapshot->digest, snapshot->text);
        RC_ASSERT(m_followers[to].revision() == std::max(before, snapshot->revision));
    }

    fake_store m_store;
    acceptance_oracle m_oracle;
    std::vector<store_view> m_views;
    std::vector<std::optional<configuration_editor>> m_editors {editorCount};
    std::vector<std::string> m_writeIds {editorCount};
    std::vector<configuration_follower> m_followers {editorCount,
                                                     configuration_follower({.keyPrefix = prefix})};
    int m_writeCount = 0;
};

} // namespace

SCENARIO("concurrent editors of a faulty store produce one sequence of revisions")
{
    CHECK(rc::check("accepted changes occur once in the sequence, rejected ones never", [] {
        using event = editor_race::event;
        constexpr double eventsPerSize = 4;
        const auto events
            = *rc::gen::scale(eventsPerSize,
                              rc::gen::container<std::vector<std::pair<event, int>>>(rc::gen::pair(
                                  rc::gen::weightedElement<event>({{10, event::Step},
                                                                   {2, event::StepAnswerLost},
                                                                   {1, event::StepRequestLost},
                                                                   {4, event::StepDelayed},
                                                                   {4, event::ReleaseDelayed},
                                                                   {3, event::Follow},
                                                                   {1, event::FollowOldView},
                                                                   {1, event::SendToPeer}}),
                                  rc::gen::inRange(0, editor_race::editorCount))));
        editor_race race;
        for (const auto &[event, participant] : events)
            race.handleEvent(event, participant);
        race.finish();
    }));
}

SCENARIO("a change of the configuration is written")
{
    fake_store store;
    const std::string first = raceTexts()[0];
    const std::string second = raceTexts()[1];
    REQUIRE(apply(store, 0, first, "a").code == result_code::Ok);

    WHEN("two operators change the same revision")
    {
        const auto winner = apply(store, 1, second, "b");
        const auto loser = apply(store, 1, first, "c");
        THEN("the second receives a conflict with the revision of the first")
        {
            CHECK(winner == configuration_change_result {result_code::Ok, 2, sha256Hex(second)});
            CHECK(loser.code == result_code::RevisionConflict);
            CHECK(loser.revision == 2);
        }
    }
    WHEN("the answer to the head's write is lost and another change follows at once")
    {
        configuration_editor editor = makeEditor(1, second, "b");
        while (!std::holds_alternative<store_transaction>(editor.nextStep())
               || std::get<store_transaction>(editor.nextStep()).puts[0].key
                   != configuration_keys {prefix}.head())
            perform(editor, store);
        perform(editor, store, store_fault::AnswerLost);
        REQUIRE(apply(store, 2, first, "c").code == result_code::Ok);
        THEN("the writer finds its change among the earlier writes")
        {
            CHECK(runToEnd(editor, store)
                  == configuration_change_result {result_code::Ok, 2, sha256Hex(second)});
        }
    }
    WHEN("a chunk's write arrives after another change was accepted")
    {
        configuration_editor editor = makeEditor(1, second, "b");
        perform(editor, store);
        perform(editor, store, store_fault::Delayed);
        REQUIRE(apply(store, 1, first, "c").code == result_code::Ok);
        const std::size_t records = store.view().records.size();
        store.releaseDelayed();
        THEN("it leaves nothing in the store and the change ends with a conflict")
        {
            CHECK(store.view().records.size() == records);
            CHECK(runToEnd(editor, store).code == result_code::RevisionConflict);
        }
    }
    WHEN("the store stays unavailable before the head is written")
    {
        configuration_editor editor = makeEditor(1, second, "b");
        std::optional<configuration_change_result> result;
        while (!result)
            result = perform(editor, store, store_fault::RequestLost);
        THEN("the change is reported as not made")
        {
            CHECK(result->code == result_code::StoreUnavailable);
        }
    }
    WHEN("many changes are made")
    {
        for (int revision = 1; revision < 20; ++revision)
            apply(store, revision, toCanonicalJson(sampleDocument(600, revision)),
                  std::to_string(revision));
        THEN("only the chunks of the last two heads remain")
        {
            const std::size_t perHead = splitIntoChunks(first).size();
            CHECK(store.view().records.size() <= 1 + 2 * perHead);
        }
    }
}

SCENARIO("a follower adopts only complete documents of higher revisions")
{
    fake_store store;
    apply(store, 0, raceTexts()[0], "a");
    const store_view older = store.view();
    apply(store, 1, raceTexts()[1], "b");
    store_view newer = store.view();
    configuration_follower follower({.keyPrefix = prefix});
    const configuration_keys keys {prefix};

    SECTION("an older view is ignored")
    {
        CHECK(follower.onStoreView(newer) == adoption_result::Adopted);
        CHECK(follower.onStoreView(older) == adoption_result::NotNewer);
        CHECK(follower.current()->text == raceTexts()[1]);
        CHECK(follower.current()->findWorkspaceByKeyDigest(sha256Hex("key of town-7"))->name
              == "town-7");
        CHECK(follower.current()->findWorkspaceByKeyDigest("") == nullptr);
    }
    SECTION("a missing or altered chunk is not adopted")
    {
        const auto head = readHead(newer.records[keys.head()].value);
        newer.records[keys.chunk(head->chunks[0])].value += " ";
        CHECK(follower.onStoreView(newer) == adoption_result::DigestMismatch);
        newer.records.erase(keys.chunk(head->chunks[0]));
        CHECK(follower.onStoreView(newer) == adoption_result::ChunkMissing);
        CHECK(follower.current() == nullptr);
    }
    SECTION("a malformed head is not adopted")
    {
        newer.records[keys.head()].value = "{\"revision\": 1e999}";
        CHECK(follower.onStoreView(newer) == adoption_result::HeadMalformed);
        newer.records.erase(keys.head());
        CHECK(follower.onStoreView(newer) == adoption_result::HeadAbsent);
    }
    SECTION("a document from a peer must match its digest and be valid")
    {
        CHECK(follower.onDocument(1, sha256Hex("x"), "{}") == adoption_result::DigestMismatch);
        CHECK(follower.onDocument(1, sha256Hex("{}"), "{}") == adoption_result::DocumentInvalid);
    }
}

SCENARIO("a change to a document of 15,000 workspaces alters few chunks")
{
    const std::string before = toCanonicalJson(sampleDocument(15000, 1.0));
    const std::string after = toCanonicalJson(sampleDocument(15000, 250.5));
    const auto chunksBefore = splitIntoChunks(before);
    const auto chunksAfter = splitIntoChunks(after);
    std::set<std::string> known;
    std::string joined;
    for (const document_chunk &chunk : chunksBefore) {
        known.insert(chunk.digest);
        joined += chunk.text;
        CHECK(chunk.text.size() <= maxChunkBytes);
    }
    CHECK(joined == before);
    std::size_t changed = 0;
    std::size_t changedBytes = 0;
    for (const document_chunk &chunk : chunksAfter) {
        if (known.contains(chunk.digest))
            continue;
        ++changed;
        changedBytes += chunk.text.size();
    }
    CHECK(changed <= 2);
    WARN("15,000 workspaces: " << before.size() << " bytes in " << chunksBefore.size()
                               << " chunks; one changed workspace alters " << changed << " chunks, "
                               << changedBytes << " bytes");
}
