#include "configuration/revision/document_delta.h"

#include "configuration/revision/content_splitter.h"
#include "foundation/hashing/stable_hash.h"
#include "foundation/json/json_reader.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace quetzal {

namespace {

constexpr part_sizes deltaPartSizes {
    .minBytes = 64, .boundaryIntervalBytes = 128, .maxBytes = 1024};
/** Limits the size of the text that a delta from a peer can produce. */
constexpr std::size_t maxTextBytes = std::size_t {64} * 1024 * 1024;

using base_index = absl::flat_hash_map<std::uint64_t, copied_range>;

base_index indexParts(std::string_view base)
{
    base_index index;
    std::size_t offset = 0;
    for (const std::string_view part : splitByContent(base, deltaPartSizes)) {
        index.emplace(stableHash(part), copied_range {offset, part.size()});
        offset += part.size();
    }
    return index;
}

/** Extends the last copied range if the part follows it in the base; false otherwise. */
bool extendCopy(std::vector<delta_part> &parts, std::string_view base, std::string_view part)
{
    auto *last = parts.empty() ? nullptr : std::get_if<copied_range>(&parts.back());
    if (last == nullptr || !base.substr(last->offset + last->length).starts_with(part))
        return false;
    last->length += part.size();
    return true;
}

void addText(std::vector<delta_part> &parts, std::string_view text)
{
    auto *last = parts.empty() ? nullptr : std::get_if<std::string>(&parts.back());
    if (last != nullptr)
        last->append(text);
    else
        parts.emplace_back(std::string(text));
}

std::optional<copied_range> readRange(const nlohmann::json &part)
{
    const bool isRange = part.is_array() && part.size() == 2 && part[0].is_number_unsigned()
        && part[1].is_number_unsigned();
    if (!isRange)
        return std::nullopt;
    return copied_range {part[0].get<std::size_t>(), part[1].get<std::size_t>()};
}

std::optional<delta_part> readPart(const nlohmann::json &part)
{
    if (part.is_string())
        return part.get<std::string>();
    return readRange(part);
}

} // namespace

document_delta makeDelta(std::string_view base, std::string_view text)
{
    const base_index index = indexParts(base);
    document_delta delta {.baseDigest = sha256Hex(base), .digest = sha256Hex(text), .parts = {}};
    for (const std::string_view part : splitByContent(text, deltaPartSizes)) {
        if (extendCopy(delta.parts, base, part))
            continue;
        const auto found = index.find(stableHash(part));
        const bool isCopy = found != index.end()
            && base.substr(found->second.offset, found->second.length) == part;
        if (isCopy)
            delta.parts.emplace_back(found->second);
        else
            addText(delta.parts, part);
    }
    return delta;
}

std::optional<std::string> applyDelta(const document_delta &delta, std::string_view base)
{
    if (sha256Hex(base) != delta.baseDigest)
        return std::nullopt;
    std::string text;
    for (const delta_part &part : delta.parts) {
        std::string_view piece;
        if (const auto *literal = std::get_if<std::string>(&part)) {
            piece = *literal;
        } else {
            const copied_range &range = std::get<copied_range>(part);
            if (range.offset > base.size())
                return std::nullopt;
            piece = base.substr(range.offset, range.length);
        }
        if (piece.size() > maxTextBytes - text.size())
            return std::nullopt;
        text += piece;
    }
    if (sha256Hex(text) != delta.digest)
        return std::nullopt;
    return text;
}

std::string toJson(const document_delta &delta)
{
    nlohmann::json parts = nlohmann::json::array();
    for (const delta_part &part : delta.parts) {
        if (const auto *range = std::get_if<copied_range>(&part))
            parts.push_back(nlohmann::json::array({range->offset, range->length}));
        else
            parts.push_back(std::get<std::string>(part));
    }
    constexpr auto replaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;
    return nlohmann::json {
        {"baseDigest", delta.baseDigest}, {"digest", delta.digest}, {"parts", parts}}
        .dump(-1, ' ', false, replaceInvalidUtf8);
}

std::optional<document_delta> readDelta(std::string_view text)
{
    const json_parse_result parsed = parseJsonWithComments(text);
    if (!parsed.document)
        return std::nullopt;
    std::vector<json_fault> faults;
    json_reader reader(*parsed.document, "", faults);
    document_delta delta;
    delta.baseDigest = reader.requiredString("baseDigest");
    delta.digest = reader.requiredString("digest");
    if (!faults.empty() || !reader.has("parts") || !parsed.document->at("parts").is_array())
        return std::nullopt;
    for (const nlohmann::json &item : parsed.document->at("parts")) {
        std::optional<delta_part> part = readPart(item);
        if (!part)
            return std::nullopt;
        delta.parts.push_back(std::move(*part));
    }
    return delta;
}

} // namespace quetzal
