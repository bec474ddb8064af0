#include "fairness/order/fair_order.h"

#include "foundation/errors/precondition.h"

#include <algorithm>

namespace quetzal {

double fair_order::virtualTimeOf(const account &entry) const
{
    const double unacknowledged = entry.virtualCharged - entry.ownAcknowledged;
    return entry.remoteTotal + entry.ownAcknowledged + m_capacityRatio * unacknowledged
        + entry.lift;
}

const fair_order::account *fair_order::find(const std::string &workspace) const
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() ? nullptr : &found->second;
}

template <typename change_function>
void fair_order::update(const std::string &workspace, change_function change)
{
    const auto position = m_accounts.try_emplace(workspace).first;
    const std::string_view name = position->first;
    account &entry = position->second;
    if (entry.backlogged) {
        m_lastVirtualTime = systemVirtualTime();
        m_backlogged.erase({virtualTimeOf(entry), name});
        m_dispatchOrder.erase({virtualTimeOf(entry) + entry.dispatchOffset, name});
    }
    change(entry);
    if (!entry.backlogged)
        return;
    m_backlogged.emplace(virtualTimeOf(entry), name);
    m_dispatchOrder.emplace(virtualTimeOf(entry) + entry.dispatchOffset, name);
}

void fair_order::setShare(const std::string &workspace, double share)
{
    QUETZAL_PRECONDITION(share > 0.0);
    update(workspace, [share](account &entry) { entry.share = share; });
}

void fair_order::setDispatchOffset(const std::string &workspace, double offset)
{
    QUETZAL_PRECONDITION(offset >= 0.0);
    update(workspace, [offset](account &entry) { entry.dispatchOffset = offset; });
}

void fair_order::remove(const std::string &workspace)
{
    if (find(workspace) == nullptr)
        return;
    setBacklogged(workspace, false);
    m_accounts.erase(workspace);
}

void fair_order::setBacklogged(const std::string &workspace, bool backlogged)
{
    if (isBacklogged(workspace) == backlogged)
        return;
    const double level = systemVirtualTime();
    update(workspace, [this, backlogged, level](account &entry) {
        entry.backlogged = backlogged;
        if (backlogged)
            entry.lift += std::max(0.0, level - virtualTimeOf(entry));
    });
}

std::optional<std::string>
fair_order::next(const std::function<bool(const std::string &)> &isEligible) const
{
    for (const auto &[dispatchKey, name] : m_dispatchOrder) {
        std::string workspace(name);
        if (isEligible(workspace))
            return workspace;
    }
    return std::nullopt;
}

void fair_order::charge(const std::string &workspace, double amount)
{
    update(workspace, [amount](account &entry) {
        entry.charged += amount;
        entry.virtualCharged += amount / entry.share;
    });
}

void fair_order::setRemoteTotal(const std::string &workspace, double total)
{
    update(workspace, [total](account &entry) { entry.remoteTotal = total; });
}

void fair_order::setRemoteTotal(const std::string &workspace, double total, double ownAcknowledged)
{
    update(workspace, [total, ownAcknowledged](account &entry) {
        entry.remoteTotal = total;
        entry.ownAcknowledged = ownAcknowledged;
    });
}

void fair_order::setCapacityRatio(double ratio)
{
    QUETZAL_PRECONDITION(ratio >= 1.0);
    m_capacityRatio = ratio;
    m_backlogged.clear();
    m_dispatchOrder.clear();
    for (const auto &[name, entry] : m_accounts) {
        if (!entry.backlogged)
            continue;
        m_backlogged.emplace(virtualTimeOf(entry), name);
        m_dispatchOrder.emplace(virtualTimeOf(entry) + entry.dispatchOffset, name);
    }
}

void fair_order::raiseLift(const std::string &workspace, double lift)
{
    update(workspace, [lift](account &entry) { entry.lift = std::max(entry.lift, lift); });
}

void fair_order::setLift(const std::string &workspace, double lift)
{
    update(workspace, [lift](account &entry) { entry.lift = lift; });
}

double fair_order::charged(const std::string &workspace) const
{
    const account *entry = find(workspace);
    return entry == nullptr ? 0.0 : entry->charged;
}

double fair_order::virtualCharged(const std::string &workspace) const
{
    const account *entry = find(workspace);
    return entry == nullptr ? 0.0 : entry->virtualCharged;
}

double fair_order::remoteTotal(const std::string &workspace) const
{
    const account *entry = find(workspace);
    return entry == nullptr ? 0.0 : entry->remoteTotal;
}

double fair_order::lift(const std::string &workspace) const
{
    const account *entry = find(workspace);
    return entry == nullptr ? 0.0 : entry->lift;
}

double fair_order::virtualTime(const std::string &workspace) const
{
    const account *entry = find(workspace);
    return entry == nullptr ? 0.0 : virtualTimeOf(*entry);
}

bool fair_order::isBacklogged(const std::string &workspace) const
{
    const account *entry = find(workspace);
    return entry != nullptr && entry->backlogged;
}

std::vector<std::string> fair_order::backlogged() const
{
    std::vector<std::string> names;
    names.reserve(m_backlogged.size());
    for (const auto &[virtualTime, name] : m_backlogged)
        names.emplace_back(name);
    return names;
}

double fair_order::systemVirtualTime() const
{
    return m_backlogged.empty() ? m_lastVirtualTime : m_backlogged.begin()->first;
}

} // namespace quetzal
