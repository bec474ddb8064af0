#pragma once

#include "directory/target/target_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace quetzal {

/**
 * Remembers what targets said of themselves in their answers or records: that they leave, or want
 * no requests for some time; and which ones the list has removed.
 *
 * A notice holds for one incarnation of a target. It is independent of the target's record, which
 * may be late, lapse and come back.
 */
class target_notices
{
public:
    /** How long a notice is remembered; a target that leaves is gone long before. */
    static constexpr absl::Duration lifetime = absl::Minutes(10);

    /** Records that this incarnation of a target leaves. */
    void onLeaving(const std::string &id, std::int64_t startedAtMs, absl::Time now);
    /** Records that the list no longer holds this incarnation of a target. */
    void onRemoved(const std::string &id, std::int64_t startedAtMs, absl::Time now);
    /** Records that this incarnation of a target wants no requests before a time. */
    void onRefusing(const std::string &id, std::int64_t startedAtMs, absl::Time until,
                    absl::Time now);
    /** Returns when the target takes requests; the infinite past if it does now. */
    absl::Time refusesUntil(const target_record &record) const;
    /** True if the list held this incarnation before and has removed it. */
    bool wasRemoved(const target_record &record) const;

private:
    struct notice
    {
        std::int64_t startedAtMs = 0;
        absl::Time refusesUntil = absl::InfinitePast();
        absl::Time receivedAt;
        bool isRemoved = false;
    };

    /** Returns the notice of an incarnation, without those of earlier ones. */
    notice &noticeOf(const std::string &id, std::int64_t startedAtMs, absl::Time now);

    /** Returns the notice of this incarnation; null if there is none. */
    const notice *find(const target_record &record) const;

    absl::flat_hash_map<std::string, notice> m_notices;
};

} // namespace quetzal
