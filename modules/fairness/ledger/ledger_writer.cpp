#include "fairness/ledger/ledger_writer.h"

#include <algorithm>

namespace quetzal {

ledger_writer::ledger_writer(std::string service, std::string writer)
    : m_service(std::move(service))
    , m_writer(std::move(writer))
{
}

void ledger_writer::markChanged(entry &line) const
{
    line.changedAt = m_sequence + 1;
    line.acknowledged = false;
}

void ledger_writer::setHome(entry &line, std::string home) const
{
    if (line.home == home)
        return;
    line.home = std::move(home);
    markChanged(line);
}

void ledger_writer::recordBacklog(entry &line, bool isBacklogged) const
{
    const bool isRefreshDue = m_collectCount % collectsPerRefresh == 0;
    if (isBacklogged && (!line.wasBacklogged || isRefreshDue))
        markChanged(line);
    line.wasBacklogged = isBacklogged;
}

void ledger_writer::touch(const std::string &workspace)
{
    markChanged(m_entries[workspace]);
}

void ledger_writer::onHomesChanged()
{
    m_homesChanged = true;
}

std::vector<std::pair<std::string, ledger_change>>
ledger_writer::collect(const fair_order &order,
                       const std::function<std::string(const std::string &workspace)> &homeOf)
{
    for (const std::string &workspace : order.backlogged())
        if (!m_entries.contains(workspace))
            touch(workspace);
    ++m_collectCount;
    std::map<std::string, ledger_change> changes;
    for (auto &[workspace, line] : m_entries) {
        const bool needsTotal = order.isBacklogged(workspace);
        recordBacklog(line, needsTotal);
        if (line.acknowledged && !needsTotal && !m_homesChanged)
            continue;
        setHome(line, homeOf(workspace));
        if (line.acknowledged && order.lift(workspace) != line.homeLift)
            markChanged(line);
        if (line.acknowledged && !needsTotal)
            continue;
        ledger_change &change = changes[line.home];
        if (line.acknowledged)
            continue;
        line.sentLift = order.lift(workspace);
        change.lines.push_back({.workspace = workspace,
                                .charged = order.virtualCharged(workspace),
                                .totalKnown = line.totalKnown,
                                .lift = line.homeLift,
                                .included = line.included,
                                .totalVersion = line.totalVersion,
                                .liftRaise = std::max(0.0, line.sentLift - line.homeLift)});
    }
    m_homesChanged = false;
    if (!changes.empty())
        ++m_sequence;
    std::vector<std::pair<std::string, ledger_change>> result;
    for (auto &[home, change] : changes) {
        const home_state &homeState = m_homes[home];
        change.service = m_service;
        change.writer = m_writer;
        change.sequence = m_sequence;
        change.homeIncarnation = homeState.incarnation;
        change.knownHomeVersion = homeState.version;
        result.emplace_back(home, std::move(change));
    }
    return result;
}

void ledger_writer::resetHome(const std::string &home, std::int64_t incarnation)
{
    const bool isFirst = m_homes[home].incarnation == 0;
    m_homes[home] = {.incarnation = incarnation};
    if (isFirst)
        return;
    for (auto &[workspace, line] : m_entries)
        if (line.home == home)
            markChanged(line);
}

void ledger_writer::onHomeIncarnation(const std::string &home, std::int64_t incarnation)
{
    const auto found = m_homes.find(home);
    if (found != m_homes.end() && incarnation > found->second.incarnation)
        resetHome(home, incarnation);
}

void ledger_writer::acknowledge(const std::string &home, std::int64_t sequence)
{
    for (auto &[workspace, line] : m_entries)
        if (line.home == home && line.changedAt <= sequence)
            line.acknowledged = true;
}

void ledger_writer::applyLine(const ledger_line &line, fair_order &order)
{
    const auto found = m_entries.find(line.workspace);
    if (found == m_entries.end())
        return;
    entry &known = found->second;
    const double oldLift = order.lift(line.workspace);
    const double oldVirtualTime = order.virtualTime(line.workspace);
    const bool isRaisePending = !known.acknowledged || oldLift != known.sentLift;
    const double raise = isRaisePending ? std::max(0.0, oldLift - known.homeLift) : 0.0;
    order.setRemoteTotal(line.workspace, line.charged - line.included, line.included);
    order.setLift(line.workspace, line.lift);
    const double shortfall = oldVirtualTime - order.virtualTime(line.workspace);
    order.setLift(line.workspace, line.lift + std::clamp(shortfall, 0.0, raise));
    known.homeLift = line.lift;
    known.totalKnown = line.charged;
    known.totalVersion = line.totalVersion;
    known.included = line.included;
}

void ledger_writer::onAnswer(const std::string &home, const ledger_answer &answer,
                             fair_order &order)
{
    if (answer.service != m_service || answer.writer != m_writer)
        return;
    home_state &homeState = m_homes[home];
    if (answer.homeIncarnation < homeState.incarnation)
        return;
    const bool restarted = answer.homeIncarnation > homeState.incarnation;
    if (restarted)
        resetHome(home, answer.homeIncarnation);
    if (answer.version < homeState.version)
        return;
    acknowledge(home, answer.acknowledgedSequence);
    for (const ledger_line &line : answer.lines)
        applyLine(line, order);
    homeState.version = answer.version;
}

} // namespace quetzal
