#include "exchange/digest/quarantine_codec.h"

#include "exchange/digest/digest_format.h"
#include "exchange/digest/quarantine_rows.h"
#include "foundation/hashing/stable_hash.h"
#include "foundation/json/bounded_document.h"

#include <cstddef>
#include <string>

namespace quetzal {

namespace {

constexpr document_bounds contentBounds {.maxDepth = 6, .maxValues = 8192};

/** The members of the message. The hash shows that a datagram was spoiled on the way. */
enum member : std::size_t
{
    Format,
    Content,
    Hash,
    MemberCount
};

/** The members of the content. */
enum content_member : std::size_t
{
    Vm,
    Losses,
    Sound,
    Held
};

nlohmann::json contentOf(const quarantine_digest &digest)
{
    nlohmann::json losses = nlohmann::json::array();
    for (const target_loss &loss : digest.news.losses)
        losses.push_back({toRow(loss.end, digest.madeAt), loss.parts});
    nlohmann::json sound = nlohmann::json::array();
    for (const sound_part &entry : digest.news.sound)
        sound.push_back({entry.part, ageMs(entry.at, digest.madeAt)});
    nlohmann::json held = nlohmann::json::array();
    for (const held_part &entry : digest.news.held)
        held.push_back(toRow(entry, digest.madeAt));
    return nlohmann::json::array({digest.vm, std::move(losses), std::move(sound), std::move(held)});
}

quarantine_digest readContent(const nlohmann::json &content)
{
    quarantine_digest digest {.vm = content.at(Vm).get<std::string>(), .madeAt = absl::UnixEpoch()};
    for (const nlohmann::json &row : content.at(Losses)) {
        target_loss loss {.end = readEnd(row.at(0))};
        for (const nlohmann::json &part : row.at(1))
            loss.parts.push_back(unsignedNumber(part).value());
        digest.news.losses.push_back(std::move(loss));
    }
    for (const nlohmann::json &row : content.at(Sound))
        digest.news.sound.push_back(
            {.part = unsignedNumber(row.at(0)).value(), .at = readAge(row.at(1))});
    for (const nlohmann::json &row : content.at(Held))
        digest.news.held.push_back(readHeld(row));
    return digest;
}

} // namespace

nlohmann::json toDocument(const quarantine_digest &digest)
{
    std::string content;
    nlohmann::json::to_msgpack(contentOf(digest), content);
    const std::uint64_t hash = stableHash(content);
    return nlohmann::json::array({quarantineFormat, std::move(content), hash});
}

std::optional<quarantine_digest> readQuarantine(const nlohmann::json &document)
{
    if (document.size() != MemberCount || !document.at(Content).is_string())
        return std::nullopt;
    const auto &bytes = document.at(Content).get_ref<const std::string &>();
    if (unsignedNumber(document.at(Hash)) != stableHash(bytes))
        return std::nullopt;
    const auto content = readMessagePack(bytes, contentBounds);
    return content ? std::optional(readContent(*content)) : std::nullopt;
}

} // namespace quetzal
