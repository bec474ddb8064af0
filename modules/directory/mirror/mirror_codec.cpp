#include "directory/mirror/mirror_codec.h"

#include "foundation/json/bounded_document.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace quetzal {

namespace {

/** The largest whole number that all writers of JSON represent exactly. */
constexpr std::int64_t maxRevision = std::int64_t {1} << 53U;
/** The maximum age that a copy tells. */
constexpr std::int64_t maxAgeMs = std::int64_t {1} << 40U;
constexpr document_bounds mirrorBounds {.maxDepth = 4, .maxValues = 400000};

/** The members of a copy, in their order. */
enum member : std::size_t
{
    Revision,
    Items,
    UnchangedSince,
    AgeMs
};

} // namespace

std::string encodeMirror(const mirror_copy &copy)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const stored_item &item : copy.items) {
        const auto begin = reinterpret_cast<const std::uint8_t *>(item.value.data());
        rows.push_back(
            {item.key, item.revision, nlohmann::json::binary({begin, begin + item.value.size()})});
    }
    const std::int64_t ageMs
        = std::clamp<std::int64_t>(absl::ToInt64Milliseconds(copy.age), 0, maxAgeMs);
    std::string bytes;
    nlohmann::json::to_msgpack(
        nlohmann::json::array({copy.revision, std::move(rows), copy.unchangedSince, ageMs}), bytes);
    return bytes;
}

std::optional<mirror_copy> decodeMirror(std::string_view bytes)
{
    const auto document = readMessagePack(bytes, mirrorBounds);
    if (!document)
        return std::nullopt;
    try {
        mirror_copy copy {.revision = wholeNumber(document->at(Revision), 0, maxRevision).value()};
        copy.unchangedSince = copy.revision;
        copy.age = absl::Milliseconds(maxAgeMs);
        for (const nlohmann::json &row : document->at(Items)) {
            const auto &value = row.at(2).get_binary();
            copy.items.push_back({.key = row.at(0).get<std::string>(),
                                  .value = std::string(value.begin(), value.end()),
                                  .revision = wholeNumber(row.at(1), 0, maxRevision).value()});
        }
        if (document->size() > AgeMs) {
            copy.unchangedSince
                = wholeNumber(document->at(UnchangedSince), 0, copy.revision).value();
            copy.age = absl::Milliseconds(wholeNumber(document->at(AgeMs), 0, maxAgeMs).value());
        }
        return copy;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::bad_optional_access &) {
        return std::nullopt;
    }
}

} // namespace quetzal
