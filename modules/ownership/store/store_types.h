#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** The value and metadata of one key of the key-value service. */
struct store_record
{
    std::string value;
    /** Store revision of the last change of this key; never 0 for a key that exists. */
    std::int64_t modRevision = 0;
    /** Lease that the key is attached to; 0 for none. */
    std::int64_t lease = 0;

    bool operator==(const store_record &) const = default;
};

/** A snapshot of all keys below a prefix at one store revision. */
struct store_view
{
    std::int64_t revision = 0;
    std::map<std::string, store_record> records;

    bool operator==(const store_view &) const = default;
};

/** A condition of a transaction: the key has this modRevision (0: the key does not exist). */
struct store_compare
{
    std::string key;
    std::int64_t modRevision = 0;

    bool operator==(const store_compare &) const = default;
};

/** A write of a transaction. */
struct store_put
{
    std::string key;
    std::string value;
    /** Lease to attach the key to; 0 for none. */
    std::int64_t lease = 0;

    bool operator==(const store_put &) const = default;
};

/** Applies all writes and deletes atomically if every comparison holds, and none otherwise. */
struct store_transaction
{
    std::uint64_t requestId = 0;
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<std::string> deletes;

    bool operator==(const store_transaction &) const = default;
};

/** Requests a new lease. */
struct lease_grant
{
    std::uint64_t requestId = 0;
    int lifetimeSeconds = 0;

    bool operator==(const lease_grant &) const = default;
};

/** Requests the renewal of a lease for its whole lifetime. */
struct lease_renewal
{
    std::uint64_t requestId = 0;
    std::int64_t lease = 0;

    bool operator==(const lease_renewal &) const = default;
};

/** Requests the end of a lease; the store then deletes the keys attached to it. */
struct lease_revocation
{
    std::uint64_t requestId = 0;
    std::int64_t lease = 0;

    bool operator==(const lease_revocation &) const = default;
};

using store_request = std::variant<store_transaction, lease_grant, lease_renewal, lease_revocation>;

/** The outcome of a store request. */
enum class store_outcome
{
    /** The transaction was applied, or the lease was granted, renewed or revoked. */
    Done,
    /** A comparison failed, or the lease does not exist; nothing was written. */
    Refused,
    /** No answer was received; the request may or may not have taken effect. */
    Unknown,
};

/** The reply to a store_request. */
struct store_reply
{
    std::uint64_t requestId = 0;
    store_outcome outcome = store_outcome::Unknown;
    /** Store revision after the request; 0 if unknown. */
    std::int64_t revision = 0;
    /** The granted lease; 0 otherwise. */
    std::int64_t lease = 0;

    bool operator==(const store_reply &) const = default;
};

} // namespace quetzal
