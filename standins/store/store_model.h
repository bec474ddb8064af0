#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace quetzal::standins {

/** A key with its value and etcd's numbers. */
struct stored_key
{
    std::string key {};
    std::string value {};
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;

    bool operator==(const stored_key &) const = default;
};

/**
 * A range of keys in etcd's way: [key, end); an empty end means the one key, an end of one zero
 * byte means every key from key on.
 */
struct key_range
{
    std::string key {};
    std::string end;

    bool contains(const std::string &other) const;
    bool operator==(const key_range &) const = default;
};

/** What a comparison of a transaction looks at. */
enum class compare_target
{
    ModRevision,
    CreateRevision,
    Version,
    Value,
};

enum class compare_result
{
    Equal,
    Greater,
    Less,
    NotEqual,
};

/** One condition of a transaction; an absent key has the number 0 and an empty value. */
struct key_compare
{
    std::string key {};
    compare_target target = compare_target::Version;
    compare_result result = compare_result::Equal;
    std::int64_t number = 0;
    std::string value {};
};

struct put_operation
{
    std::string key {};
    std::string value {};
    std::int64_t lease = 0;
};

struct delete_operation
{
    key_range range {};
};

struct range_operation
{
    key_range range {};
};

using store_operation = std::variant<put_operation, delete_operation, range_operation>;

/** The answer to one operation: the keys read, or the number of keys deleted. */
struct operation_answer
{
    std::vector<stored_key> keys;
    int deleted = 0;
};

struct transaction_request
{
    std::vector<key_compare> compares {};
    std::vector<store_operation> success {};
    std::vector<store_operation> failure {};
};

struct transaction_answer
{
    bool succeeded = false;
    std::vector<operation_answer> answers;
};

/** One change in the history; the key's value is empty when it was deleted. */
struct store_event
{
    std::int64_t revision = 0;
    bool deleted = false;
    stored_key key {};
};

/**
 * Keys, leases and the uncompacted history of the key-value service.
 *
 * It has no I/O and no clock: each function first expires the leases that are due by now.
 */
class store_model
{
public:
    /** The keys of a range in order. */
    std::vector<stored_key> range(const key_range &range, absl::Time now);
    /** Performs a transaction; nothing when an operation names an unknown lease. */
    std::optional<transaction_answer> transact(const transaction_request &request, absl::Time now);
    /** Grants a lease; id 0 lets the store choose. Returns the id, or 0 when it is taken. */
    std::int64_t grantLease(std::int64_t id, absl::Duration lifetime, absl::Time now);
    /** Renews a lease; returns its lifetime, or nothing when it is unknown or expired. */
    std::optional<absl::Duration> renewLease(std::int64_t id, absl::Time now);
    /** Ends a lease and deletes its keys; false when it is unknown. */
    bool revokeLease(std::int64_t id, absl::Time now);
    /** The events of a range from a revision on. */
    std::vector<store_event> history(const key_range &range, std::int64_t firstRevision,
                                     absl::Time now);
    std::int64_t revision(absl::Time now);

private:
    struct lease_state
    {
        absl::Duration lifetime {};
        absl::Time expiry {};
        std::set<std::string> keys;
    };

    void expire(absl::Time now);
    void endLease(std::int64_t id);
    bool isSatisfied(const key_compare &compare) const;
    bool hasKnownLeases(const std::vector<store_operation> &operations) const;
    std::vector<stored_key> collect(const key_range &range) const;
    operation_answer apply(const put_operation &operation, std::int64_t revision);
    operation_answer apply(const delete_operation &operation, std::int64_t revision);
    operation_answer apply(const range_operation &operation, std::int64_t revision) const;
    void detachFromLease(const stored_key &key);

    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 7001;
    std::map<std::string, stored_key> m_keys;
    std::map<std::int64_t, lease_state> m_leases;
    std::vector<store_event> m_history;
};

} // namespace quetzal::standins
