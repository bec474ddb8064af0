#pragma once

#include "ownership/store/member_record.h"
#include "ownership/store/shard_record.h"
#include "ownership/store/store_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** A parsed record with the revision and the lease of its key. */
template <typename record_type>
struct stored_record
{
    record_type record;
    std::int64_t modRevision = 0;
    std::int64_t lease = 0;

    bool operator==(const stored_record &) const = default;
};

/**
 * A parsed copy of the store's shard and member records at the highest revision seen.
 *
 * Parses only the keys that changed and ignores views of a lower revision. A malformed record is
 * kept as one without an owner, so that transactions can still compare its revision.
 */
class ownership_view
{
public:
    /** keyPrefix is the key prefix of the environment, without a trailing slash. */
    explicit ownership_view(const std::string &keyPrefix);

    /** Replaces the contents with a new view; false if the view is older and was ignored. */
    bool update(const store_view &view);

    std::int64_t revision() const { return m_revision; }
    const std::map<std::string, stored_record<shard_record>> &shards() const { return m_shards; }
    const std::map<std::string, stored_record<member_record>> &members() const { return m_members; }
    /** Returns the shard's record, or an empty one with modRevision 0. */
    const stored_record<shard_record> &shard(const std::string &name) const;
    /** Returns the member's record, or an empty one with modRevision 0. */
    const stored_record<member_record> &member(const std::string &vm) const;

    std::string shardKey(const std::string &shard) const { return m_shardPrefix + shard; }
    std::string memberKey(const std::string &vm) const { return m_memberPrefix + vm; }

    /**
     * Returns the registered members in the order in which they should take over a free shard:
     * members of the shard's data centre first, then by rendezvous weight.
     */
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
