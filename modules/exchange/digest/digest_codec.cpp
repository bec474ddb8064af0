#include "exchange/digest/digest_codec.h"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace quetzal {

namespace {

/** The first member of each digest, which distinguishes digests from other datagrams. */
constexpr std::int64_t formatVersion = 2;

nlohmann::json targetsOf(const load_digest &digest)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const target_digest &entry : digest.targets)
        rows.push_back({entry.target, entry.backlogMs, entry.inFlight});
    return rows;
}

nlohmann::json workspacesOf(const load_digest &digest)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const workspace_digest &entry : digest.workspaces)
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
    placed_prompt entry {.target = row.at(0).get<name_hash>()};
    for (std::size_t index = 1; index + 1 < row.size(); index += 2)
        entry.parts.push_back({.id = row.at(index).get<std::uint64_t>(),
                               .tokens = row.at(index + 1).get<std::int64_t>()});
    return entry;
}

} // namespace

std::string encodeDigest(const load_digest &digest)
{
    const nlohmann::json document = nlohmann::json::array(
        {formatVersion, digest.vm, digest.incarnation, digest.sequence, targetsOf(digest),
         workspacesOf(digest), promptsOf(digest), digest.lastChangeRevisions});
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

std::optional<load_digest> decodeDigest(std::string_view bytes)
{
    enum member : std::size_t
    {
        Format,
        Vm,
        Incarnation,
        Sequence,
        Targets,
        Workspaces,
        Prompts,
        LastChangeRevisions
    };
    const auto document = nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!document.is_array() || document.empty() || document.at(Format) != formatVersion)
        return std::nullopt;
    try {
        load_digest digest {.vm = document.at(Vm).get<std::string>(),
                            .sequence = document.at(Sequence).get<std::uint64_t>(),
                            .incarnation = document.at(Incarnation).get<std::uint64_t>(),
                            .lastChangeRevisions
                            = document.at(LastChangeRevisions).get<std::vector<std::int64_t>>()};
        for (const nlohmann::json &row : document.at(Targets))
            digest.targets.push_back({.target = row.at(0).get<name_hash>(),
                                      .backlogMs = row.at(1).get<std::int64_t>(),
                                      .inFlight = row.at(2).get<std::int64_t>()});
        for (const nlohmann::json &row : document.at(Workspaces))
            digest.workspaces.push_back({.workspace = row.at(0).get<name_hash>(),
                                         .requestedTokens = row.at(1).get<std::int64_t>(),
                                         .servedTokens = row.at(2).get<std::int64_t>()});
        for (const nlohmann::json &row : document.at(Prompts))
            digest.prompts.push_back(readPrompt(row));
        return digest;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace quetzal
