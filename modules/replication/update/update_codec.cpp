#include "replication/update/update_codec.h"

#include "foundation/json/bounded_document.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** The first member, which distinguishes updates from the digests sent to the same port. */
constexpr std::int64_t updateFormat = 16;
/** The largest whole number that all writers of JSON represent exactly. */
constexpr std::int64_t maxRevision = std::int64_t {1} << 53U;
constexpr std::int64_t maxPrefixes = 64;
constexpr document_bounds updateBounds {.maxDepth = 4, .maxValues = 16384};

/** The members of an update, in their order. */
enum member : std::size_t
{
    Format,
    Vm,
    Prefix,
    After,
    Revision,
    IsDifference,
    Changes
};

nlohmann::json rowOf(const key_change &change)
{
    nlohmann::json row = nlohmann::json::array({change.key, change.revision});
    if (!change.value)
        return row;
    const auto begin = reinterpret_cast<const std::uint8_t *>(change.value->data());
    row.push_back(nlohmann::json::binary({begin, begin + change.value->size()}));
    return row;
}

key_change readRow(const nlohmann::json &row)
{
    constexpr std::size_t valueIndex = 2;
    key_change change {.key = row.at(0).get<std::string>(),
                       .value = std::nullopt,
                       .revision = wholeNumber(row.at(1), 0, maxRevision).value()};
    if (row.size() > valueIndex) {
        const auto &value = row.at(valueIndex).get_binary();
        change.value = std::string(value.begin(), value.end());
    }
    return change;
}

std::string encodeOne(const mirror_update &update)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const key_change &change : update.changes)
        rows.push_back(rowOf(change));
    std::string bytes;
    nlohmann::json::to_msgpack(
        nlohmann::json::array({updateFormat, update.vm, update.prefix, update.after,
                               update.revision, update.isDifference, std::move(rows)}),
        bytes);
    return bytes;
}

/** Returns the update without content, by which receivers see that they miss it. */
mirror_update announcementOf(mirror_update update)
{
    update.after = update.revision;
    update.isDifference = false;
    update.changes.clear();
    return update;
}

/** Returns the changes of an update by revision, in ascending order. */
std::vector<std::vector<key_change>> groupByRevision(std::vector<key_change> changes)
{
    std::stable_sort(changes.begin(), changes.end(),
                     [](const key_change &left, const key_change &right) {
                         return left.revision < right.revision;
                     });
    std::vector<std::vector<key_change>> groups;
    for (key_change &change : changes) {
        if (groups.empty() || groups.back().front().revision != change.revision)
            groups.emplace_back();
        groups.back().push_back(std::move(change));
    }
    return groups;
}

/** Returns at least the number of bytes that changes take in a datagram. */
std::size_t maxEncodedSize(const std::vector<key_change> &changes)
{
    /** For the array, the revision and the lengths of key and value. */
    constexpr std::size_t overhead = 24;
    std::size_t bytes = 0;
    for (const key_change &change : changes)
        bytes += change.key.size() + change.value.value_or(std::string()).size() + overhead;
    return bytes;
}

/** Divides an update between revisions into parts of at most a number of bytes, if possible. */
std::vector<mirror_update> divide(mirror_update update, std::size_t maxBytes)
{
    const std::vector<key_change> changes = std::exchange(update.changes, {});
    const std::size_t emptySize = encodeOne(update).size();
    std::vector<mirror_update> parts;
    std::size_t size = 0;
    for (const std::vector<key_change> &group : groupByRevision(changes)) {
        const std::size_t groupSize = maxEncodedSize(group);
        if (parts.empty() || size + groupSize > maxBytes) {
            mirror_update part = update;
            if (!parts.empty())
                part.after = parts.back().revision;
            parts.push_back(std::move(part));
            size = emptySize;
        }
        size += groupSize;
        parts.back().revision = group.front().revision;
        parts.back().changes.insert(parts.back().changes.end(), group.begin(), group.end());
    }
    if (!parts.empty())
        parts.back().revision = std::max(parts.back().revision, update.revision);
    return parts;
}

} // namespace

std::vector<std::string> encodeUpdate(const mirror_update &update, std::size_t maxBytes)
{
    std::string whole = encodeOne(update);
    if (whole.size() <= maxBytes)
        return {std::move(whole)};
    if (update.isDifference)
        return {encodeOne(announcementOf(update))};
    std::vector<std::string> datagrams;
    for (const mirror_update &part : divide(update, maxBytes)) {
        std::string bytes = encodeOne(part);
        if (bytes.size() > maxBytes)
            bytes = encodeOne(announcementOf(part));
        datagrams.push_back(std::move(bytes));
    }
    return datagrams;
}

std::optional<mirror_update> decodeUpdate(std::string_view bytes)
{
    const auto document = readMessagePack(bytes, updateBounds);
    if (!document || !document->is_array() || document->empty())
        return std::nullopt;
    try {
        if (document->at(Format) != updateFormat || !document->at(Changes).is_array())
            return std::nullopt;
        mirror_update update {
            .vm = document->at(Vm).get<std::string>(),
            .prefix
            = static_cast<std::size_t>(wholeNumber(document->at(Prefix), 0, maxPrefixes).value()),
            .after = wholeNumber(document->at(After), 0, maxRevision).value(),
            .revision = wholeNumber(document->at(Revision), 0, maxRevision).value(),
            .isDifference = document->at(IsDifference).get<bool>(),
            .changes = {}};
        for (const nlohmann::json &row : document->at(Changes))
            update.changes.push_back(readRow(row));
        return update;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::bad_optional_access &) {
        return std::nullopt;
    }
}

} // namespace quetzal
