#include "ownership/store/ownership_view.h"

#include "foundation/hashing/stable_hash.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace quetzal {

namespace {

template <typename record_type, typename parser>
void updateRecords(const store_view &view, const std::string &prefix, parser parse,
                   std::map<std::string, stored_record<record_type>> &records)
{
    std::map<std::string, stored_record<record_type>> updated;
    for (auto entry = view.records.lower_bound(prefix);
         entry != view.records.end() && absl::StartsWith(entry->first, prefix); ++entry) {
        const store_record &stored = entry->second;
        const std::string name = entry->first.substr(prefix.size());
        const auto known = records.find(name);
        if (known != records.end() && known->second.modRevision == stored.modRevision) {
            updated.emplace(name, std::move(known->second));
            continue;
        }
        const std::optional<record_type> record = parse(stored.value);
        updated.emplace(name,
                        stored_record<record_type> {.record = record.value_or(record_type {}),
                                                    .modRevision = stored.modRevision,
                                                    .lease = stored.lease});
    }
    records = std::move(updated);
}

} // namespace

ownership_view::ownership_view(const std::string &keyPrefix)
    : m_shardPrefix(keyPrefix + "/shards/")
    , m_memberPrefix(keyPrefix + "/members/")
{
}

bool ownership_view::update(const store_view &view)
{
    if (view.revision < m_revision)
        return false;
    m_revision = view.revision;
    updateRecords(view, m_shardPrefix, parseShardRecord, m_shards);
    updateRecords(view, m_memberPrefix, parseMemberRecord, m_members);
    return true;
}

const stored_record<shard_record> &ownership_view::shard(const std::string &name) const
{
    static const stored_record<shard_record> absent;
    const auto found = m_shards.find(name);
    return found == m_shards.end() ? absent : found->second;
}

const stored_record<member_record> &ownership_view::member(const std::string &vm) const
{
    static const stored_record<member_record> absent;
    const auto found = m_members.find(vm);
    return found == m_members.end() ? absent : found->second;
}

std::vector<std::string> ownership_view::rankedCandidates(const std::string &shard,
                                                          const std::string &dataCentre) const
{
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    ranked.reserve(m_members.size());
    for (const auto &[vm, member] : m_members) {
        const bool elsewhere = member.record.dataCentre != dataCentre;
        ranked.emplace_back(elsewhere, ~rendezvousWeight(shard, vm), vm);
    }
    std::ranges::sort(ranked);
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto &[elsewhere, weight, vm] : ranked)
        names.push_back(std::move(vm));
    return names;
}

} // namespace quetzal
