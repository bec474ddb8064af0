#pragma once

#include "ownership/store/member_record.h"
#include "ownership/store/shard_record.h"
#include "ownership/store/store_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** A record together with the store's revision and lease of its key. */
template <typename record_type>
struct stored_record
{
    record_type record;
    std::int64_t modRevision = 0;
    std::int64_t lease = 0;

    bool operator==(const stored_record &) const = default;
};

/**
 * The ownership part of the store's keys at the highest revision seen.
 *
 * Parses only what changed; views of a lower revision are ignored. A record that cannot be read
 * counts as present without an owner, so that its revision still guards the transactions.
 */
class ownership_view
{
public:
    /** keyPrefix is the environment's, without a slash at the end. */
    explicit ownership_view(const std::string &keyPrefix);

    /** Takes a view over; false when it is older than the present one. */
    bool update(const store_view &view);

    std::int64_t revision() const { return m_revision; }
    const std::map<std::string, stored_record<shard_record>> &shards() const { return m_shards; }
    const std::map<std::string, stored_record<member_record>> &members() const { return m_members; }
    /** The shard's record, or an empty one with modRevision 0. */
    const stored_record<shard_record> &shard(const std::string &name) const;
    /** The member's record, or an empty one with modRevision 0. */
    const stored_record<member_record> &member(const std::string &vm) const;

    std::string shardKey(const std::string &shard) const { return m_shardPrefix + shard; }
    std::string memberKey(const std::string &vm) const { return m_memberPrefix + vm; }

    /** Live members, the taker of a free shard first: its data centre's before others. */
    std::vector<std::string> rankedCandidates(const std::string &shard,
                                              const std::string &dataCentre) const;

private:
    std::string m_shardPrefix;
    std::string m_memberPrefix;
    std::int64_t m_revision = -1;
    std::map<std::string, stored_record<shard_record>> m_shards;
    std::map<std::string, stored_record<member_record>> m_members;
};

} // namespace quetzal
