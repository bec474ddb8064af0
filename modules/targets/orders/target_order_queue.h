#pragma once

#include "targets/orders/target_order.h"
#include "targets/orders/token_bucket.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** Options of target_order_queue. */
struct target_order_queue_options
{
    /** Time after which an unanswered order can no longer take effect. */
    absl::Duration orderTimeout = absl::Seconds(30);
    /** Rate limit of the orders that read from the weight store. */
    token_bucket_options weightLoads {.tokensPerSecond = 0.2, .capacity = 2.0};
};

/**
 * Sends orders to the targets of one shard until each target has its desired state.
 *
 * Each order carries the owner's epoch as its fencing number. No target carries out an order after
 * a newer one, even if it ignores the number: only a certain owner sends, a new owner first waits
 * until the orders of the former one can no longer take effect, one order per target is outstanding
 * at a time, and after an unknown outcome the next one waits for orderTimeout. A newer order of the
 * same kind (and, for adapters, the same adapter) replaces one that was not yet sent. Orders that
 * read weights are rate-limited by a token bucket, the oldest first.
 */
class target_order_queue
{
public:
    explicit target_order_queue(target_order_queue_options options);

    /** Sets this owner's epoch and whether its ownership is certain; ignores a lower epoch. */
    void setOwnership(std::int64_t epoch, bool certain, absl::Time now);
    /** Sets what a target shall load or be; replaces an earlier order of the same kind. */
    void setDesiredOrder(const target_order &order);
    /** Resends all orders of a target that restarted and may have lost what it had loaded. */
    void observeRestart(const std::string &target);
    /** Discards the orders of a target that was removed. */
    void removeTarget(const std::string &target);
    /** Processes the answer to an order; ignores answers to any but the outstanding one. */
    void onOutcome(std::uint64_t id, order_outcome outcome);

    /** Returns the orders to send now. */
    std::vector<numbered_order> advance(absl::Time now);

    /** True if every order for the target was carried out or rejected. */
    bool isSettled(const std::string &target) const;
    /** Returns the rejected orders, for the operators. */
    std::vector<target_order> rejectedOrders() const;
    /** Returns the number of orders that are neither carried out nor rejected. */
    std::size_t waiting() const;

private:
    enum class order_state
    {
        Waiting,
        Done,
        Rejected,
    };
    struct desired_order
    {
        target_order order;
        std::uint64_t sequence = 0;
        order_state state = order_state::Waiting;
    };
    /** The kind and, for adapters, the adapter's name: a target may have several adapters. */
    using order_key = std::pair<target_order_kind, std::string>;
    struct target_state
    {
        std::map<order_key, desired_order> desiredOrders;
        std::uint64_t outstandingOrderId = 0;
        /** Sequence number of the desired order that the outstanding one was made from. */
        std::uint64_t outstandingOrderSequence = 0;
        /** Time until which an order of unknown outcome may take effect; no other one is sent. */
        absl::Time blockedUntil = absl::InfinitePast();
    };

    void startEpoch();
    bool maySend(absl::Time now) const;
    static desired_order *oldestPendingOrder(target_state &state);
    static desired_order *findDesiredOrder(target_state &state, std::uint64_t sequence);

    target_order_queue_options m_options;
    token_bucket m_weightLoads;
    std::map<std::string, target_state> m_targets;
    std::int64_t m_epoch = 0;
    bool m_certain = false;
    bool m_fenced = false;
    /** Time at which the former owner's orders have expired; set once this owner is certain. */
    absl::Time m_sendAfter = absl::InfiniteFuture();
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace quetzal
