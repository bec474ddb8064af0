#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** One key of the key-value service. */
struct store_record
{
    std::string value;
    /** Store revision of the last change of this key; 0 is never used by a present key. */
    std::int64_t modRevision = 0;
    /** Lease to which the key is attached; 0 for none. */
    std::int64_t lease = 0;

    bool operator==(const store_record &) const = default;
};

/** All keys below a prefix at one store revision. */
struct store_view
{
    std::int64_t revision = 0;
    std::map<std::string, store_record> records;

    bool operator==(const store_view &) const = default;
};

/** Condition of a transaction: the key's modRevision equals this one (0: the key is absent). */
struct store_compare
{
    std::string key;
    std::int64_t modRevision = 0;

    bool operator==(const store_compare &) const = default;
};

/** Write of a transaction. */
struct store_put
{
    std::string key;
    std::string value;
    /** Lease to attach the key to; 0 for none. */
    std::int64_t lease = 0;

    bool operator==(const store_put &) const = default;
};

/** Writes everything if every comparison holds, and nothing otherwise. */
struct store_transaction
{
    std::uint64_t requestId = 0;
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<std::string> deletes;

    bool operator==(const store_transaction &) const = default;
};

struct lease_grant
{
    std::uint64_t requestId = 0;
    int lifetimeSeconds = 0;

    bool operator==(const lease_grant &) const = default;
};

struct lease_renewal
{
    std::uint64_t requestId = 0;
    std::int64_t lease = 0;

    bool operator==(const lease_renewal &) const = default;
};

struct lease_revocation
{
    std::uint64_t requestId = 0;
    std::int64_t lease = 0;

    bool operator==(const lease_revocation &) const = default;
};

using store_request = std::variant<store_transaction, lease_grant, lease_renewal, lease_revocation>;

/** How a store request ended. */
enum class store_outcome
{
    /** The transaction was written, or the lease is granted, renewed or revoked. */
    Done,
    /** A comparison did not hold, or the lease does not exist; nothing was written. */
    Refused,
    /** No answer came; the request may or may not have taken effect. */
    Unknown,
};

/** The answer to a store_request. */
struct store_reply
{
    std::uint64_t requestId = 0;
    store_outcome outcome = store_outcome::Unknown;
    /** Store revision after the request; 0 when unknown. */
    std::int64_t revision = 0;
    /** The granted lease; 0 otherwise. */
    std::int64_t lease = 0;

    bool operator==(const store_reply &) const = default;
};

} // namespace quetzal
