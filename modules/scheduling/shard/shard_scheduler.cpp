#include "scheduling/shard/shard_scheduler.h"

#include "foundation/errors/precondition.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <optional>

namespace quetzal {

namespace {

/** Weight of the newest charge in the moving average of a workspace's charges. */
constexpr double meanChargeWeight = 0.1;

cost_features featuresOf(const std::string &workspace, const std::string &kind, double hint)
{
    return {.workspace = workspace, .requestKind = kind, .hint = hint};
}

} // namespace

shard_scheduler::shard_scheduler(shard_scheduler_options options,
                                 const configuration_document &document)
    : m_options(std::move(options))
    , m_estimator({.initialEstimate = m_options.service.largestRequest / 16.0,
                   .largestRequest = m_options.service.largestRequest})
    , m_ledger(m_options.service.name,
               toText(ledger_writer_name {.shard = m_options.shard, .epoch = m_options.epoch}))
{
    m_lastTicket = m_options.lastTicket;
    setConfiguration(document);
}

void shard_scheduler::setConfiguration(const configuration_document &document)
{
    const service_definition *service = document.findService(m_options.service.name);
    if (service != nullptr)
        m_options.service = *service;
    m_activeDataCentres.clear();
    for (const data_centre_definition &dataCentre : document.dataCentres) {
        if (dataCentre.state == data_centre_state::In)
            m_activeDataCentres.insert(dataCentre.name);
    }
    m_allowedDataCentres.clear();
    for (const workspace_definition &workspace : document.workspaces) {
        m_order.setShare(workspace.name, workspace.share);
        m_shares[workspace.name] = workspace.share;
        if (!workspace.dataCentres.empty())
            m_allowedDataCentres[workspace.name].insert(workspace.dataCentres.begin(),
                                                        workspace.dataCentres.end());
    }
    m_targets.setLimits(m_options.service.coldSlotsPerTarget, m_options.service.slotsPerTarget);
}

void shard_scheduler::setTargets(const std::vector<target_listing> &listings, absl::Time now)
{
    m_targets.setListings(listings, now);
}

void shard_scheduler::setServiceShards(std::vector<std::string> shards)
{
    if (shards == m_serviceShards)
        return;
    m_serviceShards = std::move(shards);
    m_order.setCapacityRatio(std::max<double>(1.0, static_cast<double>(m_serviceShards.size())));
    for (const auto &[workspace, mean] : m_meanCharges)
        updateDispatchOffset(workspace);
}

void shard_scheduler::setRouters(const std::set<std::string> &routers)
{
    m_expectedRouters = routers;
}

void shard_scheduler::onLoad(const std::string &target, const target_load &load, absl::Time now)
{
    m_targets.observeLoad(target, load, now);
}

void shard_scheduler::onReport(const protocol::router_report &report, absl::Time now)
{
    router_state &router = m_routers[report.router];
    if (report.incarnation < router.incarnation)
        return;
    if (report.incarnation > router.incarnation) {
        releaseAll(report.router, now);
        router = {.incarnation = report.incarnation};
    }
    if (report.sequence <= router.sequence)
        return;
    router.sequence = report.sequence;
    router.lastReport = now;

    for (const protocol::shard_usage &usage : report.usages) {
        if (usage.shard == m_options.shard)
            applyUsage(report, usage, now);
    }
    protocol::service_demand demand;
    for (const protocol::service_demand &item : report.demands) {
        if (item.serviceName == m_options.service.name)
            demand = item;
    }
    const std::set<std::string> changed = report.complete ? m_demand.replace(report.router, demand)
                                                          : m_demand.update(report.router, demand);
    recountUnreportedGrants(report.router);
    updateBacklog(changed);
}

void shard_scheduler::advance(absl::Time now)
{
    for (auto &[name, router] : m_routers) {
        if (now - router.lastReport <= m_options.routerTimeout)
            continue;
        releaseAll(name, now);
        updateBacklog(m_demand.removeRouter(name));
    }
    std::erase_if(m_routers, [&](const auto &item) {
        return now - item.second.lastReport > m_options.routerTimeout
            && !m_expectedRouters.contains(item.first);
    });
}

std::vector<addressed_grant> shard_scheduler::grant(ownership_certainty certainty, absl::Time now)
{
    std::vector<addressed_grant> grants;
    if (m_superseded)
        return grants;
    const bool complete = isComplete(now);
    bool granted = true;
    while (granted) {
        granted = false;
        for (const target_listing &target : m_targets.withFreeSlots(certainty, complete, now)) {
            if (!m_activeDataCentres.contains(target.dataCentre))
                continue;
            const std::optional<std::string> workspace = nextWorkspace(target.dataCentre, now);
            if (!workspace)
                continue;
            grants.push_back(issueGrant(*workspace, target, now));
            granted = true;
            break;
        }
    }
    return grants;
}

std::vector<addressed_revocation> shard_scheduler::revoke(absl::Time now)
{
    std::vector<addressed_revocation> revocations;
    for (auto &[key, ticket] : m_tickets) {
        const absl::Time lastSent = std::max(ticket.grantedAt, ticket.revokedAt);
        if (ticket.running || key.first != m_options.epoch)
            continue;
        if (now - lastSent < m_options.revocationDelay)
            continue;
        ticket.revokedAt = now;
        addressed_revocation item {.router = ticket.router, .content = {}};
        item.content.shard = m_options.shard;
        item.content.epoch = key.first;
        item.content.ticket = key.second;
        revocations.push_back(std::move(item));
    }
    return revocations;
}

std::vector<std::pair<std::string, ledger_change>> shard_scheduler::collectLedger(
    const std::function<std::string(const std::string &workspace)> &homeOf)
{
    auto changes = m_ledger.collect(m_order, homeOf);
    for (const auto &[home, change] : changes) {
        for (const ledger_line &line : change.lines)
            m_requestedTotals[home].insert(line.workspace);
    }
    return changes;
}

void shard_scheduler::onLedgerAnswer(const std::string &home, const ledger_answer &answer)
{
    m_ledger.onAnswer(home, answer, m_order);
    m_receivedTotals.merge(m_requestedTotals[home]);
    m_requestedTotals.erase(home);
}

void shard_scheduler::onHomeIncarnation(const std::string &home, std::int64_t incarnation)
{
    m_ledger.onHomeIncarnation(home, incarnation);
}

void shard_scheduler::onHomesChanged()
{
    m_ledger.onHomesChanged();
}

std::vector<workspace_status> shard_scheduler::workspaceStatus() const
{
    std::vector<workspace_status> result;
    for (const auto &[workspace, share] : m_shares)
        result.push_back({.workspace = workspace,
                          .share = share,
                          .virtualTime = m_order.virtualTime(workspace),
                          .charged = m_order.charged(workspace),
                          .backlogged = m_order.isBacklogged(workspace)});
    return result;
}

void shard_scheduler::applyUsage(const protocol::router_report &report,
                                 const protocol::shard_usage &usage, absl::Time now)
{
    if (usage.epochKnown > m_options.epoch)
        m_superseded = true;
    for (const protocol::running_ticket &running : usage.running)
        applyRunning(report.router, running);
    for (const protocol::ticket_outcome &outcome : usage.outcomes)
        applyOutcome(outcome, now);
    if (report.complete)
        releaseUnlisted(report.router, usage);
    router_state &router = m_routers[report.router];
    if (usage.epochKnown == m_options.epoch) {
        router.complete = router.complete || report.complete;
        router.highestTicket = std::max(router.highestTicket, usage.highestTicket);
    }
}

void shard_scheduler::applyRunning(const std::string &router,
                                   const protocol::running_ticket &running)
{
    const cost_features features = featuresOf(running.workspace, running.requestKind, running.hint);
    const double expected = estimate(features, running.units);
    const ticket_key key {running.epoch, running.ticket};
    const auto [found, added] = m_tickets.try_emplace(key);
    ticket_state &ticket = found->second;
    if (added) {
        ticket = {.router = router,
                  .workspace = running.workspace,
                  .target = running.target,
                  .requestKind = running.requestKind,
                  .hint = running.hint};
        m_targets.adjustInUse(running.target, 1);
        const bool chargedByFormerOwner = running.epoch < m_options.epoch;
        if (chargedByFormerOwner)
            ticket.charged = expected;
    }
    ticket.running = true;
    ticket.requestKind = running.requestKind;
    ticket.hint = running.hint;
    chargeWorkspace(ticket.workspace, expected - ticket.charged);
    ticket.charged = expected;
}

void shard_scheduler::applyOutcome(const protocol::ticket_outcome &outcome, absl::Time now)
{
    const auto found = m_tickets.find({outcome.epoch, outcome.ticket});
    if (found == m_tickets.end())
        return;
    m_targets.observeOutcome(outcome, found->second.grantedAt, now);
    if (outcome.ending == protocol::ticket_end::AnsweredWhole)
        m_estimator.learn(featuresOf(outcome.workspace, outcome.requestKind, outcome.hint),
                          outcome.units);
    releaseTicket(found, finalCharge(outcome));
}

void shard_scheduler::releaseUnlisted(const std::string &router, const protocol::shard_usage &usage)
{
    std::set<ticket_key> listed;
    for (const protocol::running_ticket &running : usage.running)
        listed.insert({running.epoch, running.ticket});
    for (auto item = m_tickets.begin(); item != m_tickets.end();) {
        const auto current = item++;
        const ticket_key &key = current->first;
        if (current->second.router != router || listed.contains(key))
            continue;
        const bool formerEpoch = key.first < m_options.epoch;
        const bool isBelowHighest
            = usage.epochKnown == m_options.epoch && key.second <= usage.highestTicket;
        if (formerEpoch || isBelowHighest)
            releaseTicket(current, 0.0);
    }
}

void shard_scheduler::releaseAll(const std::string &router, absl::Time now)
{
    for (auto item = m_tickets.begin(); item != m_tickets.end();) {
        const auto current = item++;
        if (current->second.router != router)
            continue;
        m_targets.markSuspect(current->second.target, now);
        releaseTicket(current, current->second.running ? current->second.charged : 0.0);
    }
}

void shard_scheduler::updateBacklog(const std::set<std::string> &workspaces)
{
    for (const std::string &workspace : workspaces) {
        if (!m_shares.contains(workspace))
            continue;
        const double liftBefore = m_order.lift(workspace);
        m_order.setBacklogged(workspace, m_demand.hasPendingRequests(workspace));
        if (m_order.lift(workspace) > liftBefore)
            m_ledger.touch(workspace);
    }
}

void shard_scheduler::recountUnreportedGrants(const std::string &router)
{
    m_demand.clearUnreportedGrants(router);
    const std::int64_t highestReported = m_routers[router].highestTicket;
    for (const auto &[key, ticket] : m_tickets) {
        const bool isUnreported = key.first == m_options.epoch && key.second > highestReported;
        if (ticket.router == router && isUnreported)
            m_demand.addUnreportedGrants(ticket.workspace, router, 1);
    }
}

void shard_scheduler::releaseTicket(ticket_map::iterator ticket, double finalCharge)
{
    const ticket_state &state = ticket->second;
    chargeWorkspace(state.workspace, finalCharge - state.charged);
    m_targets.adjustInUse(state.target, -1);
    m_tickets.erase(ticket);
}

void shard_scheduler::updateDispatchOffset(const std::string &workspace)
{
    const std::uint64_t own = rendezvousWeight(workspace, m_options.shard);
    const auto precedence = std::count_if(
        m_serviceShards.begin(), m_serviceShards.end(),
        [&](const std::string &shard) { return rendezvousWeight(workspace, shard) > own; });
    const double request = m_meanCharges.at(workspace) / m_shares.at(workspace);
    m_order.setDispatchOffset(workspace, static_cast<double>(precedence) * request);
}

void shard_scheduler::chargeWorkspace(const std::string &workspace, double amount)
{
    if (amount == 0.0 || !m_shares.contains(workspace))
        return;
    m_order.charge(workspace, amount);
    m_ledger.touch(workspace);
}

double shard_scheduler::estimate(const cost_features &features, double units) const
{
    if (m_options.service.unit == service_unit::AnsweredRequests)
        return weightOf(features.requestKind);
    return m_estimator.estimate(features, units);
}

double shard_scheduler::finalCharge(const protocol::ticket_outcome &outcome) const
{
    const bool ran = outcome.ending != protocol::ticket_end::ReturnedUnused
        && outcome.ending != protocol::ticket_end::RefusedUnrun;
    if (m_options.service.unit == service_unit::Tokens)
        return ran ? outcome.units : 0.0;
    const bool whole = outcome.ending == protocol::ticket_end::AnsweredWhole;
    return whole ? weightOf(outcome.requestKind) : 0.0;
}

double shard_scheduler::weightOf(const std::string &requestKind) const
{
    for (const request_kind &kind : m_options.service.requestKinds) {
        if (kind.name == requestKind)
            return kind.weight;
    }
    return 1.0;
}

bool shard_scheduler::isComplete(absl::Time now) const
{
    const bool hasPredecessor = m_options.epoch > 1;
    if (!hasPredecessor || now - m_options.since > m_options.routerTimeout)
        return true;
    return std::all_of(m_expectedRouters.begin(), m_expectedRouters.end(),
                       [this](const std::string &router) {
                           const auto found = m_routers.find(router);
                           return found != m_routers.end() && found->second.complete;
                       });
}

std::optional<std::string> shard_scheduler::nextWorkspace(const std::string &dataCentre,
                                                          absl::Time now) const
{
    const bool awaitsTotals = now - m_options.since < m_options.ledgerTimeout;
    return m_order.next([&](const std::string &workspace) {
        if (awaitsTotals && !m_receivedTotals.contains(workspace))
            return false;
        const auto allowed = m_allowedDataCentres.find(workspace);
        const bool excluded
            = allowed != m_allowedDataCentres.end() && !allowed->second.contains(dataCentre);
        return !excluded && m_demand.hasUngranted(workspace);
    });
}

addressed_grant shard_scheduler::issueGrant(const std::string &workspace,
                                            const target_listing &target, absl::Time now)
{
    const std::optional<std::string> router = m_demand.routerToServe(workspace);
    QUETZAL_PRECONDITION(router.has_value());
    const router_demand demand = *m_demand.find(workspace, *router);
    const cost_features features = featuresOf(workspace, demand.headKind, demand.headHint);
    const double charged = estimate(features, 0.0);
    const std::int64_t ticket = ++m_lastTicket;
    m_tickets[{m_options.epoch, ticket}] = {.router = *router,
                                            .workspace = workspace,
                                            .target = target.target,
                                            .requestKind = demand.headKind,
                                            .hint = demand.headHint,
                                            .charged = charged,
                                            .grantedAt = now};
    m_targets.adjustInUse(target.target, 1);
    chargeWorkspace(workspace, charged);
    double &mean = m_meanCharges.try_emplace(workspace, charged).first->second;
    mean += (charged - mean) * meanChargeWeight;
    updateDispatchOffset(workspace);
    m_demand.addUnreportedGrants(workspace, *router, 1);

    addressed_grant result {.router = *router, .content = {}};
    result.content.shard = m_options.shard;
    result.content.epoch = m_options.epoch;
    result.content.ticket = ticket;
    result.content.target = target.target;
    result.content.address = target.address;
    result.content.dataCentre = target.dataCentre;
    result.content.serviceName = m_options.service.name;
    result.content.workspace = workspace;
    result.content.reportSequence = m_routers[*router].sequence;
    result.content.lifetimeMillis
        = static_cast<std::int32_t>(absl::ToInt64Milliseconds(m_options.grantLifetime));
    return result;
}

} // namespace quetzal
