#include "exchange/digest/quarantine_codec.h"

#include "exchange/digest/digest_format.h"
#include "foundation/hashing/stable_hash.h"
#include "foundation/json/bounded_document.h"

#include <algorithm>
#include <cstddef>
#include <string>

namespace quetzal {

namespace {

constexpr std::int64_t maxAgeMs = std::int64_t {366} * 24 * 3600 * 1000;
constexpr std::int64_t maxStartMs = std::int64_t {1} << 53U;
constexpr std::int64_t maxTrials = 1000000;
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

std::int64_t ageMs(absl::Time at, absl::Time madeAt)
{
    const std::int64_t age = absl::ToInt64Milliseconds(madeAt - at);
    return std::clamp<std::int64_t>(age, 0, maxAgeMs);
}

absl::Time readAge(const nlohmann::json &value)
{
    return absl::UnixEpoch() - absl::Milliseconds(wholeNumber(value, 0, maxAgeMs).value());
}

nlohmann::json toRow(const target_end &end, absl::Time madeAt)
{
    return nlohmann::json::array(
        {end.target.target, end.target.startedAtMs, end.address, ageMs(end.at, madeAt)});
}

target_end readEnd(const nlohmann::json &row)
{
    return {.target = {.target = unsignedNumber(row.at(0)).value(),
                       .startedAtMs = wholeNumber(row.at(1), -maxStartMs, maxStartMs).value()},
            .address = unsignedNumber(row.at(2)).value(),
            .at = readAge(row.at(3))};
}

nlohmann::json toRow(const held_part &held, absl::Time madeAt)
{
    nlohmann::json ends = nlohmann::json::array();
    for (const target_end &end : held.ends)
        ends.push_back(toRow(end, madeAt));
    const std::int64_t trialAge = held.trials > 0 ? ageMs(held.lastTrialAt, madeAt) : 0;
    return nlohmann::json::array(
        {held.part, ageMs(held.since, madeAt), std::move(ends), held.trials, trialAge});
}

held_part readHeld(const nlohmann::json &row)
{
    held_part held {.part = unsignedNumber(row.at(0)).value(), .since = readAge(row.at(1))};
    for (const nlohmann::json &end : row.at(2))
        held.ends.push_back(readEnd(end));
    held.trials = static_cast<int>(wholeNumber(row.at(3), 0, maxTrials).value());
    if (held.trials > 0)
        held.lastTrialAt = readAge(row.at(4));
    return held;
}

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
