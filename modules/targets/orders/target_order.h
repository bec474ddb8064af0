#pragma once

#include <cstdint>
#include <string>

namespace quetzal {

/** The kinds of orders that a target can carry out. */
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

/** An order with the numbers under which it is sent. */
struct numbered_order
{
    /** Increases with each order sent; the answer refers to it. */
    std::uint64_t id = 0;
    /** Fencing number: the epoch of the shard's owner. Targets that check it reject lower ones. */
    std::int64_t epoch = 0;
    target_order order;

    bool operator==(const numbered_order &) const = default;
};

/** The outcome of an order. */
enum class order_outcome
{
    Done,
    /** The target rejected the order and did not carry it out. */
    Rejected,
    /** The target knows a higher fencing number: this scheduler is no longer the owner. */
    Fenced,
    /** No answer was received; the target may still carry the order out. */
    Unknown,
};

/** True for orders that read weights from the weight store. */
constexpr bool loadsWeights(target_order_kind kind)
{
    return kind != target_order_kind::ChangeRole;
}

} // namespace quetzal
