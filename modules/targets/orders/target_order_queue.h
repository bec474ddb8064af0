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
    /** After this time an order that was not answered can no longer take effect. */
    absl::Duration orderTimeout = absl::Seconds(30);
    /** Rate of the orders that read from the weight store. */
    token_bucket_options weightLoads {.tokensPerSecond = 0.2, .capacity = 2.0};
};

/**
 * Orders to the targets of one shard, as the state that each target is wanted to have.
 *
 * Each order carries the owner's epoch as its fencing number. It is correct as well with targets
 * that ignore the number: only a certain owner sends, a new owner first waits until the orders of
 * the former one can no longer take effect, one order per target is outstanding at a time, and
 * after an unknown outcome the next one waits for orderTimeout. So no target carries out an order
 * after a newer one. A newer wish for the same thing replaces one that was not yet sent. Orders
 * that read weights are paced by a token bucket, the oldest wish first.
 */
class target_order_queue
{
public:
    explicit target_order_queue(target_order_queue_options options);

    /** The epoch of the shard's owner and whether it is certain; a lower epoch is ignored. */
    void setOwnership(std::int64_t epoch, bool certain, absl::Time now);
    /** What a target shall load or be; replaces an earlier wish of the same kind. */
    void setDesiredOrder(const target_order &order);
    /** The target restarted and may have lost what it had loaded; its wishes are sent again. */
    void observeRestart(const std::string &target);
    /** The target is gone; its wishes are dropped. */
    void removeTarget(const std::string &target);
    /** The answer to an order; answers to other than the outstanding one are ignored. */
    void onOutcome(std::uint64_t id, order_outcome outcome);

    /** Orders that are due now. */
    std::vector<numbered_order> advance(absl::Time now);

    /** True when every wish for the target was carried out or refused. */
    bool isSettled(const std::string &target) const;
    /** Wishes that were refused, for the operators. */
    std::vector<target_order> refused() const;
    /** Wishes that are not yet carried out. */
    std::size_t waiting() const;

private:
    enum class order_state
    {
        Waiting,
        Done,
        Refused,
    };
    struct desired_order
    {
        target_order order;
        std::uint64_t sequence = 0;
        order_state state = order_state::Waiting;
    };
    /** The kind, and for adapters, of which a target may have several, the adapter. */
    using order_key = std::pair<target_order_kind, std::string>;
    struct target_state
    {
        std::map<order_key, desired_order> desiredOrders;
        std::uint64_t outstanding = 0;
        /** The wish that the outstanding order was made from. */
        std::uint64_t outstandingSequence = 0;
        /** Until then an order of unknown outcome may take effect, so no other one is sent. */
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
    /** When the former owner's orders have lapsed; set once this owner is certain. */
    absl::Time m_sendAfter = absl::InfiniteFuture();
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace quetzal
