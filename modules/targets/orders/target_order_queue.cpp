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
        m_weightLoads.takeAll(now);
}

void target_order_queue::startEpoch()
{
    m_fenced = false;
    m_sendAfter = absl::InfiniteFuture();
    for (auto &[target, state] : m_targets) {
        state.outstandingOrderId = 0;
        for (auto &[key, desired] : state.desiredOrders)
            desired.state = order_state::Waiting;
    }
}

void target_order_queue::setDesiredOrder(const target_order &order)
{
    const bool multiplePerTarget = order.kind == target_order_kind::LoadAdapter;
    const order_key key(order.kind, multiplePerTarget ? order.value : "");
    desired_order &desired = m_targets[order.target].desiredOrders[key];
    if (desired.sequence != 0 && desired.order == order)
        return;
    desired = {.order = order, .sequence = ++m_lastSequence};
}

void target_order_queue::observeRestart(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    for (auto &[key, desired] : found->second.desiredOrders) {
        desired.sequence = ++m_lastSequence;
        desired.state = order_state::Waiting;
    }
}

void target_order_queue::removeTarget(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.desiredOrders.clear();
}

void target_order_queue::onOutcome(std::uint64_t id, order_outcome outcome)
{
    const auto found = std::ranges::find_if(m_targets, [&](const auto &entry) {
        return id != 0 && entry.second.outstandingOrderId == id;
    });
    if (found == m_targets.end())
        return;
    target_state &state = found->second;
    state.outstandingOrderId = 0;
    if (outcome == order_outcome::Fenced)
        m_fenced = true;
    if (outcome != order_outcome::Unknown)
        state.blockedUntil = absl::InfinitePast();
    desired_order *sent = findDesiredOrder(state, state.outstandingOrderSequence);
    if (sent == nullptr)
        return;
    if (outcome == order_outcome::Done)
        sent->state = order_state::Done;
    if (outcome == order_outcome::Rejected)
        sent->state = order_state::Rejected;
}

std::vector<numbered_order> target_order_queue::advance(absl::Time now)
{
    std::vector<numbered_order> orders;
    if (!maySend(now))
        return orders;
    std::erase_if(m_targets, [&](const auto &entry) {
        return entry.second.desiredOrders.empty() && now >= entry.second.blockedUntil;
    });
    std::vector<std::pair<desired_order *, target_state *>> due;
    for (auto &[target, state] : m_targets) {
        if (now < state.blockedUntil)
            continue;
        state.outstandingOrderId = 0;
        if (desired_order *oldest = oldestPendingOrder(state))
            due.emplace_back(oldest, &state);
    }
    std::ranges::sort(due, {}, [](const auto &entry) { return entry.first->sequence; });
    for (const auto &[desired, state] : due) {
        if (loadsWeights(desired->order.kind) && !m_weightLoads.take(now))
            continue;
        state->outstandingOrderId = ++m_lastId;
        state->outstandingOrderSequence = desired->sequence;
        state->blockedUntil = now + m_options.orderTimeout;
        orders.push_back({.id = m_lastId, .epoch = m_epoch, .order = desired->order});
    }
    return orders;
}

bool target_order_queue::isSettled(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end()
        || std::ranges::none_of(found->second.desiredOrders, [](const auto &entry) {
               return entry.second.state == order_state::Waiting;
           });
}

std::vector<target_order> target_order_queue::rejectedOrders() const
{
    std::vector<target_order> orders;
    for (const auto &[target, state] : m_targets) {
        for (const auto &[key, desired] : state.desiredOrders) {
            if (desired.state == order_state::Rejected)
                orders.push_back(desired.order);
        }
    }
    return orders;
}

std::size_t target_order_queue::waiting() const
{
    std::size_t count = 0;
    for (const auto &[target, state] : m_targets) {
        count += std::ranges::count_if(state.desiredOrders, [](const auto &entry) {
            return entry.second.state == order_state::Waiting;
        });
    }
    return count;
}

bool target_order_queue::maySend(absl::Time now) const
{
    return m_certain && !m_fenced && now >= m_sendAfter;
}

target_order_queue::desired_order *target_order_queue::oldestPendingOrder(target_state &state)
{
    desired_order *oldest = nullptr;
    for (auto &[key, candidate] : state.desiredOrders) {
        const bool waiting = candidate.state == order_state::Waiting;
        if (waiting && (oldest == nullptr || candidate.sequence < oldest->sequence))
            oldest = &candidate;
    }
    return oldest;
}

target_order_queue::desired_order *target_order_queue::findDesiredOrder(target_state &state,
                                                                        std::uint64_t sequence)
{
    for (auto &[key, candidate] : state.desiredOrders) {
        if (candidate.sequence == sequence)
            return &candidate;
    }
    return nullptr;
}

} // namespace quetzal
