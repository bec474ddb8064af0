#pragma once

#include "quarantine/decision/trial_schedule.h"
#include "quarantine/evidence/quarantine_news.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace quetzal {

/** A write of one record to the key-value service, on condition that it was not written since. */
struct archive_write
{
    /** The content; its part names the record. */
    held_part part;
    /** True to remove the record. */
    bool isRemoval = false;
    /** The revision that the record must have; 0 if it must not exist. */
    std::int64_t expectedRevision = 0;

    bool operator==(const archive_write &) const = default;
};

/**
 * Decides which records of prompt parts the routers keep in the key-value service, so that what
 * they learned survives the end of all of them.
 *
 * One record a part, written by one router for all: the first in the order of the part. The others
 * follow one after the other if it does not.
 */
class part_archive
{
public:
    /** The number of records; further parts are known to the routers alone. */
    static constexpr std::size_t maxRecords = 32;
    /** How long a router waits for each one before it in the order. */
    static constexpr absl::Duration takeoverDelay = absl::Seconds(1);
    /** How long a part must have been unimportant before its record is removed. */
    static constexpr absl::Duration removalDelay = absl::Seconds(3);

    /** Records what the service holds of a part. */
    void onRecord(const held_part &record, std::int64_t revision);
    /** Records that the service holds nothing of a part. */
    void onRecordRemoved(part_id part);

    /**
     * Returns the next write that is this router's to make, if there is one. Must be called
     * periodically, with no write in progress.
     * @param wanted the parts to keep, in the order of their importance
     * @param turnOf returns this router's place in the order of a part
     */
    template <typename TurnOf>
    std::optional<archive_write> next(std::span<const held_part> wanted, const TurnOf &turnOf,
                                      absl::Time now)
    {
        updateDifferences(wanted, now);
        for (const auto &[part, difference] : m_differences) {
            const absl::Duration delay = takeoverDelay * static_cast<double>(turnOf(part).rank);
            if (now >= difference.since + delay)
                return difference.write;
        }
        return std::nullopt;
    }

private:
    struct stored_record
    {
        held_part content;
        std::int64_t revision = 0;
    };
    /** A record that is to be written. */
    struct record_difference
    {
        archive_write write;
        /** When the write became due. */
        absl::Time since;
    };

    void updateDifferences(std::span<const held_part> wanted, absl::Time now);
    /** Returns the write that makes the record of the part what is wanted, if one is needed. */
    std::optional<archive_write> writeFor(const held_part &wanted) const;

    absl::btree_map<part_id, stored_record> m_records;
    absl::btree_map<part_id, record_difference> m_differences;
};

} // namespace quetzal
