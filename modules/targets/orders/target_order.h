#pragma once

#include <cstdint>
#include <string>

namespace quetzal {

/** What a target is told to do. */
enum class target_order_kind
{
    LoadModel,
    LoadAdapter,
    LoadVersion,
    ChangeRole,
};

/** An order to one target. */
struct target_order
{
    std::string target;
    target_order_kind kind = target_order_kind::LoadModel;
    /** Model, adapter, version or role, depending on the kind. */
    std::string value;

    bool operator==(const target_order &) const = default;
};

/** An order as it is sent. */
struct numbered_order
{
    /** Grows with each sending; identifies the answer. */
    std::uint64_t id = 0;
    /** Fencing number: the epoch of the shard's owner. Targets that check it refuse lower ones. */
    std::int64_t epoch = 0;
    target_order order;

    bool operator==(const numbered_order &) const = default;
};

/** How an order ended. */
enum class order_outcome
{
    Done,
    /** The target refused it and did not carry it out. */
    Refused,
    /** The target knows a higher fencing number: this scheduler is no longer the owner. */
    Fenced,
    /** No answer came; the target may still carry the order out. */
    Unknown,
};

/** True for orders that read weights from the weight store. */
constexpr bool loadsWeights(target_order_kind kind)
{
    return kind != target_order_kind::ChangeRole;
}

} // namespace quetzal
