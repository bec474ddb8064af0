#include "standins/store/store_model.h"

#include <algorithm>
#include <compare>

namespace quetzal::standins {

namespace {

bool satisfies(compare_result required, std::strong_ordering order)
{
    switch (required) {
    case compare_result::Equal:
        return order == std::strong_ordering::equal;
    case compare_result::Greater:
        return order == std::strong_ordering::greater;
    case compare_result::Less:
        return order == std::strong_ordering::less;
    case compare_result::NotEqual:
        return order != std::strong_ordering::equal;
    }
    return false;
}

std::int64_t comparedNumber(const stored_key &key, compare_target target)
{
    switch (target) {
    case compare_target::ModRevision:
        return key.modRevision;
    case compare_target::CreateRevision:
        return key.createRevision;
    case compare_target::Version:
        return key.version;
    case compare_target::Value:
        return 0;
    }
    return 0;
}

} // namespace

bool key_range::contains(const std::string &other) const
{
    if (end.empty())
        return other == key;
    const bool unbounded = end == std::string(1, '\0');
    return other >= key && (unbounded || other < end);
}

std::vector<stored_key> store_model::range(const key_range &range, absl::Time now)
{
    expire(now);
    return collect(range);
}

std::optional<transaction_answer> store_model::transact(const transaction_request &request,
                                                        absl::Time now)
{
    expire(now);
    transaction_answer answer;
    answer.succeeded = std::ranges::all_of(request.compares,
                                           [this](const auto &item) { return isSatisfied(item); });
    const auto &operations = answer.succeeded ? request.success : request.failure;
    if (!hasKnownLeases(operations))
        return std::nullopt;

    const std::size_t events = m_history.size();
    const std::int64_t next = m_revision + 1;
    for (const store_operation &operation : operations) {
        answer.answers.push_back(
            std::visit([&](const auto &item) { return apply(item, next); }, operation));
    }
    if (m_history.size() > events)
        m_revision = next;
    return answer;
}

std::int64_t store_model::grantLease(std::int64_t id, absl::Duration lifetime, absl::Time now)
{
    expire(now);
    if (id == 0)
        id = m_nextLease++;
    if (m_leases.contains(id))
        return 0;
    m_leases[id] = {lifetime, now + lifetime, {}};
    return id;
}

std::optional<absl::Duration> store_model::renewLease(std::int64_t id, absl::Time now)
{
    expire(now);
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return std::nullopt;
    found->second.expiry = now + found->second.lifetime;
    return found->second.lifetime;
}

bool store_model::revokeLease(std::int64_t id, absl::Time now)
{
    expire(now);
    if (!m_leases.contains(id))
        return false;
    endLease(id);
    return true;
}

std::vector<store_event> store_model::history(const key_range &range, std::int64_t firstRevision,
                                              absl::Time now)
{
    expire(now);
    const auto first
        = std::ranges::lower_bound(m_history, firstRevision, {}, &store_event::revision);
    std::vector<store_event> events;
    std::copy_if(first, m_history.end(), std::back_inserter(events),
                 [&range](const store_event &event) { return range.contains(event.key.key); });
    return events;
}

std::int64_t store_model::revision(absl::Time now)
{
    expire(now);
    return m_revision;
}

void store_model::expire(absl::Time now)
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        endLease(id);
}

void store_model::endLease(std::int64_t id)
{
    const std::set<std::string> keys = m_leases.at(id).keys;
    const std::size_t events = m_history.size();
    for (const std::string &key : keys)
        apply(delete_operation {{key, ""}}, m_revision + 1);
    if (m_history.size() > events)
        ++m_revision;
    m_leases.erase(id);
}

bool store_model::isSatisfied(const key_compare &compare) const
{
    const auto found = m_keys.find(compare.key);
    const stored_key key = found == m_keys.end() ? stored_key {} : found->second;
    if (compare.target == compare_target::Value)
        return found != m_keys.end() && satisfies(compare.result, key.value <=> compare.value);
    return satisfies(compare.result, comparedNumber(key, compare.target) <=> compare.number);
}

bool store_model::hasKnownLeases(const std::vector<store_operation> &operations) const
{
    return std::ranges::all_of(operations, [this](const store_operation &operation) {
        const auto *put = std::get_if<put_operation>(&operation);
        return put == nullptr || put->lease == 0 || m_leases.contains(put->lease);
    });
}

std::vector<stored_key> store_model::collect(const key_range &range) const
{
    std::vector<stored_key> keys;
    for (auto next = m_keys.lower_bound(range.key);
         next != m_keys.end() && range.contains(next->first); ++next)
        keys.push_back(next->second);
    return keys;
}

operation_answer store_model::apply(const put_operation &operation, std::int64_t revision)
{
    stored_key &key = m_keys[operation.key];
    detachFromLease(key);
    key.key = operation.key;
    key.value = operation.value;
    key.createRevision = key.version == 0 ? revision : key.createRevision;
    key.modRevision = revision;
    key.version += 1;
    key.lease = operation.lease;
    if (key.lease != 0)
        m_leases.at(key.lease).keys.insert(key.key);
    m_history.push_back({revision, false, key});
    return {};
}

operation_answer store_model::apply(const delete_operation &operation, std::int64_t revision)
{
    operation_answer answer;
    for (const stored_key &key : collect(operation.range)) {
        detachFromLease(key);
        m_keys.erase(key.key);
        m_history.push_back({revision, true, {.key = key.key, .modRevision = revision}});
        ++answer.deleted;
    }
    return answer;
}

operation_answer store_model::apply(const range_operation &operation, std::int64_t) const
{
    return {collect(operation.range), 0};
}

void store_model::detachFromLease(const stored_key &key)
{
    const auto lease = m_leases.find(key.lease);
    if (lease != m_leases.end())
        lease->second.keys.erase(key.key);
}

} // namespace quetzal::standins
