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

/** A key with its value and the metadata that etcd keeps for it. */
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
 * A range of keys with etcd's semantics: [key, end). An empty end selects the single key; an end of
 * one zero byte selects all keys greater than or equal to key.
 */
struct key_range
{
    std::string key {};
    std::string end;

    bool contains(const std::string &other) const;
    bool operator==(const key_range &) const = default;
};

/** The property of a key that a transaction compares. */
enum class compare_target
{
    ModRevision,
    CreateRevision,
    Version,
    Value,
};

/** The relation that a comparison requires. */
enum class compare_result
{
    Equal,
    Greater,
    Less,
    NotEqual,
};

/**
 * One condition of a transaction. An absent key has revisions and version 0; a comparison of its
 * value is never satisfied.
 */
struct key_compare
{
    std::string key {};
    compare_target target = compare_target::Version;
    compare_result result = compare_result::Equal;
    std::int64_t number = 0;
    std::string value {};
};

/** Writes a key; lease 0 attaches it to no lease. */
struct put_operation
{
    std::string key {};
    std::string value {};
    std::int64_t lease = 0;
};

/** Deletes the keys of a range. */
struct delete_operation
{
    key_range range {};
};

/** Reads the keys of a range. */
struct range_operation
{
    key_range range {};
};

using store_operation = std::variant<put_operation, delete_operation, range_operation>;

/** The result of one operation: the keys read, or the number of keys deleted. */
struct operation_answer
{
    std::vector<stored_key> keys;
    int deleted = 0;
};

/** Operations to perform if all comparisons are satisfied, and those to perform otherwise. */
struct transaction_request
{
    std::vector<key_compare> compares {};
    std::vector<store_operation> success {};
    std::vector<store_operation> failure {};
};

/** The results of the operations performed, in their order. */
struct transaction_answer
{
    bool succeeded = false;
    std::vector<operation_answer> answers;
};

/** One change in the history; the key's value is empty if it was deleted. */
struct store_event
{
    std::int64_t revision = 0;
    bool deleted = false;
    stored_key key {};
};

/**
 * Simulates the keys, leases and uncompacted history of an etcd store.
 *
 * The class does no I/O and reads no clock: callers pass the current time, and each function first
 * removes the leases that have expired by then.
 */
class store_model
{
public:
    /** Returns the keys of a range in ascending order. */
    std::vector<stored_key> range(const key_range &range, absl::Time now);
    /** Performs a transaction; returns nothing if an operation names an unknown lease. */
    std::optional<transaction_answer> transact(const transaction_request &request, absl::Time now);
    /** Grants a lease; id 0 lets the store choose one. Returns the id, or 0 if it is in use. */
    std::int64_t grantLease(std::int64_t id, absl::Duration lifetime, absl::Time now);
    /** Renews a lease; returns its lifetime, or nothing if it is unknown or expired. */
    std::optional<absl::Duration> renewLease(std::int64_t id, absl::Time now);
    /** Removes a lease and its keys; returns false if it is unknown. */
    bool revokeLease(std::int64_t id, absl::Time now);
    /** Returns the events of a range from firstRevision on, that revision included. */
    std::vector<store_event> history(const key_range &range, std::int64_t firstRevision,
                                     absl::Time now);
    /** Returns the revision of the latest change; 1 for a new store. */
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
