#include "exchange/record/part_record_codec.h"

#include "exchange/digest/quarantine_rows.h"
#include "foundation/json/bounded_document.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

constexpr document_bounds recordBounds {.maxDepth = 5, .maxValues = 256};
constexpr std::int64_t maxTimeOfDayMs = std::int64_t {1} << 53U;
constexpr char writtenField[] = "writtenAtMs";
constexpr char partField[] = "part";

held_part readRecord(const nlohmann::json &document, const clock_reading &clock)
{
    const std::int64_t writtenAtMs
        = wholeNumber(document.at(writtenField), 0, maxTimeOfDayMs).value();
    const std::int64_t age = std::clamp<std::int64_t>(clock.timeOfDayMs - writtenAtMs, 0, maxAgeMs);
    const absl::Time writtenAt = clock.now - absl::Milliseconds(age);
    quarantine_news news {.held = {readHeld(document.at(partField))}};
    news = shifted(std::move(news), writtenAt - absl::UnixEpoch());
    return std::move(news.held.front());
}

} // namespace

std::string encodePartRecord(const held_part &part, const clock_reading &clock)
{
    return nlohmann::json {{writtenField, clock.timeOfDayMs}, {partField, toRow(part, clock.now)}}
        .dump();
}

std::optional<held_part> decodePartRecord(std::string_view text, const clock_reading &clock)
{
    const auto document = readJson(text, recordBounds);
    if (!document || !document->is_object())
        return std::nullopt;
    try {
        return readRecord(*document, clock);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace quetzal
