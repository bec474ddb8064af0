#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** An earlier owner of a shard, which may not yet know that it was replaced. */
struct former_owner
{
    std::string vm;
    std::int64_t incarnation = 0;

    bool operator==(const former_owner &) const = default;
};

/** The store's record of one shard; an empty vm means that the shard has no owner. */
struct shard_record
{
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
    /** Owners of lower epochs that were not known to have stopped when this record was written. */
    std::vector<former_owner> former;
    /** True if the previous owner ended by a restart, so it may not have halved its last grants. */
    bool abrupt = false;

    bool operator==(const shard_record &) const = default;
};

/** Returns the owners that may still grant once this record is replaced: its former and current. */
std::vector<former_owner> formerOwnersAfter(const shard_record &record);

/** Returns the record as JSON. */
std::string toText(const shard_record &record);

/** Parses a record; returns nullopt if the text is malformed. */
std::optional<shard_record> parseShardRecord(std::string_view text);

} // namespace quetzal
