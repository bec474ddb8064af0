#include "apps/edge/part_records.h"

#include "apps/edge/edge_clock.h"
#include "apps/edge/quarantine_log.h"
#include "exchange/record/part_record_codec.h"

#include <charconv>
#include <string>
#include <string_view>

namespace quetzal {

namespace {

/** Prefix of the records of prompt parts; the identifier of the part follows as in requests. */
constexpr std::string_view partPrefix = "quetzalreach/parts/";
constexpr int hexadecimal = 16;

clock_reading readClock(absl::Time now)
{
    return {.now = now, .timeOfDayMs = timeOfDayMs()};
}

std::optional<part_id> partOf(const std::string &key)
{
    if (!key.starts_with(partPrefix))
        return std::nullopt;
    part_id part = 0;
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + partPrefix.size(), end, part, hexadecimal);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == end;
    return isWhole ? std::optional(part) : std::nullopt;
}

} // namespace

part_records::part_records(forwarding_node &node, event_log &log)
    : m_node(node)
    , m_log(log)
{
}

void part_records::onChanges(const std::vector<key_change> &changes, absl::Time now)
{
    for (const key_change &change : changes) {
        if (const auto part = partOf(change.key))
            onChange(*part, change, now);
    }
}

void part_records::onChange(part_id part, const key_change &change, absl::Time now)
{
    if (!change.value) {
        m_node.onPartRecordRemoved(part);
        return;
    }
    const auto record = decodePartRecord(*change.value, readClock(now));
    const bool isReadable = record && record->part == part;
    m_log.line(isReadable ? "part_record" : "part_record_unreadable")
        .text("part", partText(part))
        .number("revision", change.revision)
        .number("endedTargets", isReadable ? std::ssize(record->ends) : 0);
    if (isReadable)
        m_node.onPartRecord(*record, change.revision, now);
}

std::optional<platform::store_call> part_records::nextCall(absl::Time now)
{
    const auto write = m_node.nextPartWrite(now);
    if (!write)
        return std::nullopt;
    const std::string part = partText(write->part.part);
    const std::string key = std::string(partPrefix) + part;
    m_log.line(write->isRemoval ? "part_record_remove" : "part_record_write")
        .text("part", part)
        .number("endedTargets", std::ssize(write->part.ends))
        .number("trials", write->part.trials)
        .number("expectedRevision", write->expectedRevision);
    if (write->isRemoval)
        return platform::removeCall(key, write->expectedRevision);
    return platform::writeCall(key, encodePartRecord(write->part, readClock(now)),
                               write->expectedRevision);
}

} // namespace quetzal
