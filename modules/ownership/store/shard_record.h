#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** An earlier owner of a shard that may not yet know that it was replaced. */
struct former_owner
{
    std::string vm;
    std::int64_t incarnation = 0;

    bool operator==(const former_owner &) const = default;
};

/** The store's record of one shard; an empty vm means that nobody owns it. */
struct shard_record
{
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
    /** Owners of lower epochs that were not known to have stopped when this record was written. */
    std::vector<former_owner> former;
    /** True when the owner before was replaced by a restart, so that its grants need not be halved.
     */
    bool abrupt = false;

    bool operator==(const shard_record &) const = default;
};

/** The owners that may still grant after this record was replaced: its former ones and its owner.
 */
std::vector<former_owner> formerOwnersAfter(const shard_record &record);

/** The record as JSON text. */
std::string toText(const shard_record &record);

/** Reads a record; nothing when the text is not one. */
std::optional<shard_record> parseShardRecord(std::string_view text);

} // namespace quetzal
