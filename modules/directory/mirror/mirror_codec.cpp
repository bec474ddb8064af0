#include "directory/mirror/mirror_codec.h"

#include "foundation/json/bounded_document.h"

#include <optional>

namespace quetzal {

namespace {

/** The largest whole number that all writers of JSON represent exactly. */
constexpr std::int64_t maxRevision = std::int64_t {1} << 53U;
constexpr document_bounds mirrorBounds {.maxDepth = 4, .maxValues = 400000};

} // namespace

std::string encodeMirror(const listing_page &page)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const stored_item &item : page.items) {
        const auto begin = reinterpret_cast<const std::uint8_t *>(item.value.data());
        rows.push_back(
            {item.key, item.revision, nlohmann::json::binary({begin, begin + item.value.size()})});
    }
    std::string bytes;
    nlohmann::json::to_msgpack(nlohmann::json::array({page.revision, std::move(rows)}), bytes);
    return bytes;
}

std::optional<listing_page> decodeMirror(std::string_view bytes)
{
    const auto document = readMessagePack(bytes, mirrorBounds);
    if (!document)
        return std::nullopt;
    try {
        listing_page page {.revision = wholeNumber(document->at(0), 0, maxRevision).value()};
        for (const nlohmann::json &row : document->at(1)) {
            const auto &value = row.at(2).get_binary();
            page.items.push_back({.key = row.at(0).get<std::string>(),
                                  .value = std::string(value.begin(), value.end()),
                                  .revision = wholeNumber(row.at(1), 0, maxRevision).value()});
        }
        return page;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::bad_optional_access &) {
        return std::nullopt;
    }
}

} // namespace quetzal
