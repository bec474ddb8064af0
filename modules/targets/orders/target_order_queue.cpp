#include "targets/orders/target_order_queue.h"

#include <algorithm>

namespace quetzal {

target_order_queue::target_order_queue(target_order_queue_options options)
    : m_options(options)
    , m_weightLoads(options.weightLoads)
{
}

void target_order_queue::setOwnership(std::int64_t epoch, bool certain, absl::Time now)
{
    if (epoch < m_epoch)
        return;
    if (epoch > m_epoch)
        startEpoch();
    m_epoch = epoch;
    m_certain = certain;
    if (!certain || m_sendAfter != absl::InfiniteFuture())
        return;
    const bool isFirstOwner = epoch == 1;
    m_sendAfter = isFirstOwner ? now : now + m_options.orderTimeout;
    if (!isFirstOwner)
        m_weightLoads.empty(now);
}

void target_order_queue::startEpoch()
{
    m_fenced = false;
    m_sendAfter = absl::InfiniteFuture();
    for (auto &[target, state] : m_targets) {
        state.outstanding = 0;
        for (auto &[key, wish] : state.wishes)
            wish.state = wish_state::Waiting;
    }
}

void target_order_queue::want(const target_order &order)
{
    const bool several = order.kind == target_order_kind::LoadAdapter;
    const wish_key key(order.kind, several ? order.value : "");
    wish &wanted = m_targets[order.target].wishes[key];
    if (wanted.sequence != 0 && wanted.order == order)
        return;
    wanted = {.order = order, .sequence = ++m_lastSequence};
}

void target_order_queue::observeRestart(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    for (auto &[key, wish] : found->second.wishes) {
        wish.sequence = ++m_lastSequence;
        wish.state = wish_state::Waiting;
    }
}

void target_order_queue::forget(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.wishes.clear();
}

void target_order_queue::onOutcome(std::uint64_t id, order_outcome outcome)
{
    const auto found = std::ranges::find_if(
        m_targets, [&](const auto &entry) { return id != 0 && entry.second.outstanding == id; });
    if (found == m_targets.end())
        return;
    target_state &state = found->second;
    state.outstanding = 0;
    if (outcome == order_outcome::Fenced)
        m_fenced = true;
    if (outcome != order_outcome::Unknown)
        state.blockedUntil = absl::InfinitePast();
    wish *sent = wishOf(state, state.outstandingWish);
    if (sent == nullptr)
        return;
    if (outcome == order_outcome::Done)
        sent->state = wish_state::Done;
    if (outcome == order_outcome::Refused)
        sent->state = wish_state::Refused;
}

std::vector<numbered_order> target_order_queue::advance(absl::Time now)
{
    std::vector<numbered_order> orders;
    if (!maySend(now))
        return orders;
    std::erase_if(m_targets, [&](const auto &entry) {
        return entry.second.wishes.empty() && now >= entry.second.blockedUntil;
    });
    std::vector<std::pair<wish *, target_state *>> due;
    for (auto &[target, state] : m_targets) {
        if (now < state.blockedUntil)
            continue;
        state.outstanding = 0;
        if (wish *oldest = oldestWish(state))
            due.emplace_back(oldest, &state);
    }
    std::ranges::sort(due, {}, [](const auto &entry) { return entry.first->sequence; });
    for (const auto &[wanted, state] : due) {
        if (loadsWeights(wanted->order.kind) && !m_weightLoads.take(now))
            continue;
        state->outstanding = ++m_lastId;
        state->outstandingWish = wanted->sequence;
        state->blockedUntil = now + m_options.orderTimeout;
        orders.push_back({.id = m_lastId, .epoch = m_epoch, .order = wanted->order});
    }
    return orders;
}

bool target_order_queue::isSettled(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end()
        || std::ranges::none_of(found->second.wishes, [](const auto &entry) {
               return entry.second.state == wish_state::Waiting;
           });
}

std::vector<target_order> target_order_queue::refused() const
{
    std::vector<target_order> orders;
    for (const auto &[target, state] : m_targets) {
        for (const auto &[key, wish] : state.wishes) {
            if (wish.state == wish_state::Refused)
                orders.push_back(wish.order);
        }
    }
    return orders;
}

std::size_t target_order_queue::waiting() const
{
    std::size_t count = 0;
    for (const auto &[target, state] : m_targets) {
        count += std::ranges::count_if(state.wishes, [](const auto &entry) {
            return entry.second.state == wish_state::Waiting;
        });
    }
    return count;
}

bool target_order_queue::maySend(absl::Time now) const
{
    return m_certain && !m_fenced && now >= m_sendAfter;
}

target_order_queue::wish *target_order_queue::oldestWish(target_state &state)
{
    wish *oldest = nullptr;
    for (auto &[key, candidate] : state.wishes) {
        const bool waiting = candidate.state == wish_state::Waiting;
        if (waiting && (oldest == nullptr || candidate.sequence < oldest->sequence))
            oldest = &candidate;
    }
    return oldest;
}

target_order_queue::wish *target_order_queue::wishOf(target_state &state, std::uint64_t sequence)
{
    for (auto &[key, candidate] : state.wishes) {
        if (candidate.sequence == sequence)
            return &candidate;
    }
    return nullptr;
}

} // namespace quetzal
