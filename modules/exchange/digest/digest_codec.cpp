#include "exchange/digest/digest_codec.h"

#include "exchange/digest/digest_format.h"
#include "exchange/digest/quarantine_codec.h"
#include "foundation/json/bounded_document.h"

#include <cstddef>
#include <optional>
#include <variant>

namespace quetzal {

namespace {

/** Bounds of the numbers, so that sums over all routers do not overflow. */
constexpr std::int64_t maxBacklogMs = std::int64_t {1} << 40U;
constexpr std::int64_t maxInFlight = 1000000;
constexpr std::int64_t maxTokens = std::int64_t {1} << 50U;
constexpr std::int64_t maxRevision = std::int64_t {1} << 53U;
constexpr document_bounds digestBounds {.maxDepth = 4, .maxValues = 16384};

/** The members of both kinds of digests, in their order. */
enum common_member : std::size_t
{
    Format,
    Vm,
    Incarnation,
    Sequence,
    FirstSpecific
};

nlohmann::json targetsOf(const load_digest &digest)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const target_digest &entry : digest.targets)
        rows.push_back({entry.target, entry.backlogMs, entry.inFlight});
    return rows;
}

nlohmann::json workspacesOf(const std::vector<workspace_digest> &workspaces)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const workspace_digest &entry : workspaces)
        rows.push_back({entry.workspace, entry.requestedTokens, entry.servedTokens});
    return rows;
}

nlohmann::json promptsOf(const load_digest &digest)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const placed_prompt &entry : digest.prompts) {
        nlohmann::json row = nlohmann::json::array({entry.target});
        for (const prompt_part &part : entry.parts) {
            row.push_back(part.id);
            row.push_back(part.tokens);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

placed_prompt readPrompt(const nlohmann::json &row)
{
    placed_prompt entry {.target = unsignedNumber(row.at(0)).value()};
    for (std::size_t index = 1; index + 1 < row.size(); index += 2)
        entry.parts.push_back({.id = unsignedNumber(row.at(index)).value(),
                               .tokens = wholeNumber(row.at(index + 1), 0, maxTokens).value()});
    return entry;
}

nlohmann::json toDocument(const load_digest &digest)
{
    return nlohmann::json::array({loadFormat, digest.vm, digest.incarnation, digest.sequence,
                                  targetsOf(digest), workspacesOf(digest.workspaces),
                                  promptsOf(digest), digest.lastChangeRevisions,
                                  digest.placed.tokens, digest.placed.workMs});
}

nlohmann::json toDocument(const backlog_digest &digest)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const target_backlog &entry : digest.backlogs)
        rows.push_back({entry.target, entry.backlogMs});
    return nlohmann::json::array({backlogFormat, digest.vm, digest.incarnation, digest.sequence,
                                  std::move(rows), workspacesOf(digest.workspaces),
                                  digest.placed.tokens, digest.placed.workMs});
}

std::vector<workspace_digest> readWorkspaces(const nlohmann::json &rows)
{
    std::vector<workspace_digest> workspaces;
    for (const nlohmann::json &row : rows)
        workspaces.push_back(
            {.workspace = unsignedNumber(row.at(0)).value(),
             .requestedTokens = wholeNumber(row.at(1), -maxTokens, maxTokens).value(),
             .servedTokens = wholeNumber(row.at(2), -maxTokens, maxTokens).value()});
    return workspaces;
}

placement_digest readPlaced(const nlohmann::json &tokens, const nlohmann::json &workMs)
{
    return {.tokens = wholeNumber(tokens, 0, maxTokens).value(),
            .workMs = wholeNumber(workMs, 0, maxBacklogMs).value()};
}

load_digest readLoad(const nlohmann::json &document)
{
    enum member : std::size_t
    {
        Targets = FirstSpecific,
        Workspaces,
        Prompts,
        LastChangeRevisions,
        PlacedTokens,
        PlacedWorkMs
    };
    load_digest digest {.vm = document.at(Vm).get<std::string>(),
                        .sequence = unsignedNumber(document.at(Sequence)).value(),
                        .incarnation = unsignedNumber(document.at(Incarnation)).value(),
                        .lastChangeRevisions = {}};
    for (const nlohmann::json &revision : document.at(LastChangeRevisions))
        digest.lastChangeRevisions.push_back(wholeNumber(revision, 0, maxRevision).value());
    for (const nlohmann::json &row : document.at(Targets))
        digest.targets.push_back({.target = unsignedNumber(row.at(0)).value(),
                                  .backlogMs = wholeNumber(row.at(1), 0, maxBacklogMs).value(),
                                  .inFlight = wholeNumber(row.at(2), 0, maxInFlight).value()});
    digest.workspaces = readWorkspaces(document.at(Workspaces));
    for (const nlohmann::json &row : document.at(Prompts))
        digest.prompts.push_back(readPrompt(row));
    // Routers of earlier versions do not tell it.
    if (document.size() > PlacedWorkMs)
        digest.placed = readPlaced(document.at(PlacedTokens), document.at(PlacedWorkMs));
    return digest;
}

backlog_digest readBacklogs(const nlohmann::json &document)
{
    enum member : std::size_t
    {
        Backlogs = FirstSpecific,
        Workspaces,
        PlacedTokens,
        PlacedWorkMs
    };
    backlog_digest digest {.vm = document.at(Vm).get<std::string>(),
                           .sequence = unsignedNumber(document.at(Sequence)).value(),
                           .incarnation = unsignedNumber(document.at(Incarnation)).value()};
    for (const nlohmann::json &row : document.at(Backlogs))
        digest.backlogs.push_back({.target = unsignedNumber(row.at(0)).value(),
                                   .backlogMs = wholeNumber(row.at(1), 0, maxBacklogMs).value()});
    digest.workspaces = readWorkspaces(document.at(Workspaces));
    digest.placed = readPlaced(document.at(PlacedTokens), document.at(PlacedWorkMs));
    return digest;
}

} // namespace

std::string encodeDigest(const peer_digest &digest)
{
    const nlohmann::json document
        = std::visit([](const auto &kind) { return toDocument(kind); }, digest);
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

std::optional<peer_digest> decodeDigest(std::string_view bytes)
{
    const auto document = readMessagePack(bytes, digestBounds);
    if (!document || !document->is_array() || document->empty())
        return std::nullopt;
    try {
        if (document->at(Format) == loadFormat)
            return readLoad(*document);
        if (document->at(Format) == backlogFormat)
            return readBacklogs(*document);
        if (document->at(Format) == quarantineFormat) {
            auto digest = readQuarantine(*document);
            return digest ? std::optional<peer_digest>(*std::move(digest)) : std::nullopt;
        }
        return std::nullopt;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::bad_optional_access &) {
        return std::nullopt;
    }
}

} // namespace quetzal
