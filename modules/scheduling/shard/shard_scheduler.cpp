#include "scheduling/shard/shard_scheduler.h"

#include "foundation/errors/precondition.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <optional>

namespace quetzal {

namespace {

/** Weight of the newest charge in the mean charge of a workspace. */
constexpr double meanChargeWeight = 0.1;

target_evidence evidenceOf(const protocol::ticket_outcome &outcome)
{
    switch (outcome.signal) {
    case protocol::target_signal::Leaving:
        return target_evidence::Leaving;
    case protocol::target_signal::ConnectionRefused:
        return target_evidence::Refused;
    case protocol::target_signal::ConnectionReset:
        return target_evidence::Reset;
    case protocol::target_signal::Overloaded:
        return target_evidence::Overloaded;
    case protocol::target_signal::Silent:
        return target_evidence::Silent;
    case protocol::target_signal::None:
        return target_evidence::Answered;
    }
    return target_evidence::Answered;
}

bool carriesEvidence(const protocol::ticket_outcome &outcome)
{
    return outcome.ending == protocol::ticket_end::AnsweredWhole
        || outcome.signal != protocol::target_signal::None || !outcome.targetInstance.empty();
}

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
    m_dataCentresIn.clear();
    for (const data_centre_definition &dataCentre : document.dataCentres) {
        if (dataCentre.state == data_centre_state::In)
            m_dataCentresIn.insert(dataCentre.name);
    }
    m_allowedDataCentres.clear();
    for (const workspace_definition &workspace : document.workspaces) {
        m_order.setShare(workspace.name, workspace.share);
        m_shares[workspace.name] = workspace.share;
        if (!workspace.dataCentres.empty())
            m_allowedDataCentres[workspace.name].insert(workspace.dataCentres.begin(),
                                                        workspace.dataCentres.end());
    }
    for (auto &[name, target] : m_targets)
        target.admission.setLimits(m_options.service.coldSlotsPerTarget,
                                   m_options.service.slotsPerTarget);
}

void shard_scheduler::setTargets(const std::vector<target_listing> &listings, absl::Time now)
{
    std::set<std::string> listed;
    for (const target_listing &listing : listings) {
        listed.insert(listing.target);
        const auto [found, added] = m_targets.try_emplace(
            listing.target, target_state {target_admission(listing, admissionOptions(), now)});
        if (!added)
            found->second.admission.observeListing(listing, now);
    }
    for (auto &[name, target] : m_targets) {
        if (!listed.contains(name))
            target.admission.observeUnlisted(now);
    }
    std::erase_if(m_targets, [&listed](const auto &item) {
        return !listed.contains(item.first) && item.second.inUse == 0;
    });
}

void shard_scheduler::setServiceShards(std::vector<std::string> shards)
{
    if (shards == m_serviceShards)
        return;
    m_serviceShards = std::move(shards);
    m_order.setFleetFactor(std::max<double>(1.0, static_cast<double>(m_serviceShards.size())));
    for (const auto &[workspace, mean] : m_meanCharges)
        updateTurn(workspace);
}

void shard_scheduler::setRouters(const std::set<std::string> &routers)
{
    m_expectedRouters = routers;
}

void shard_scheduler::onLoad(const std::string &target, const target_load &load, absl::Time now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    if (isSilent(found->second, now))
        found->second.admission.observeEvidence(target_evidence::Reset, "", now);
    found->second.lastSign = now;
    found->second.admission.observeLoad(load, now);
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
    router.heard = now;

    for (const protocol::shard_usage &usage : report.usages) {
        if (usage.shard == m_options.shard)
            takeUsage(report, usage, now);
    }
    protocol::service_demand demand;
    for (const protocol::service_demand &item : report.demands) {
        if (item.serviceName == m_options.service.name)
            demand = item;
    }
    const std::set<std::string> changed = report.complete ? m_demand.replace(report.router, demand)
                                                          : m_demand.update(report.router, demand);
    recountPending(report.router);
    updateBacklog(changed);
}

void shard_scheduler::advance(absl::Time now)
{
    for (auto &[name, router] : m_routers) {
        if (now - router.heard <= m_options.routerTimeout)
            continue;
        releaseAll(name, now);
        updateBacklog(m_demand.forget(name));
    }
    std::erase_if(m_routers, [&](const auto &item) {
        return now - item.second.heard > m_options.routerTimeout
            && !m_expectedRouters.contains(item.first);
    });
}

std::vector<addressed_grant> shard_scheduler::grant(ownership_certainty certainty, absl::Time now)
{
    std::vector<addressed_grant> grants;
    if (m_superseded)
        return grants;
    bool granted = true;
    while (granted) {
        granted = false;
        for (const std::string &target : freeTargets(certainty, now)) {
            const std::string &dataCentre = m_targets.at(target).admission.listing().dataCentre;
            const std::optional<std::string> workspace = nextWorkspace(dataCentre, now);
            if (!workspace)
                continue;
            grants.push_back(issue(*workspace, target, now));
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
            m_askedTotals[home].insert(line.workspace);
    }
    return changes;
}

void shard_scheduler::onLedgerAnswer(const std::string &home, const ledger_answer &answer)
{
    m_ledger.onAnswer(home, answer, m_order);
    m_knownTotals.merge(m_askedTotals[home]);
    m_askedTotals.erase(home);
}

void shard_scheduler::onHomeIncarnation(const std::string &home, std::int64_t incarnation)
{
    m_ledger.onHomeIncarnation(home, incarnation);
}

void shard_scheduler::onHomesMoved()
{
    m_ledger.onHomesMoved();
}

std::vector<target_status> shard_scheduler::targetStatus(absl::Time now) const
{
    std::vector<target_status> result;
    for (const auto &[name, target] : m_targets)
        result.push_back({.target = name,
                          .phase = target.admission.phase(now),
                          .limit = target.admission.limit(now),
                          .inUse = target.inUse});
    return result;
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

target_admission_options shard_scheduler::admissionOptions() const
{
    return {.warmLimit = m_options.service.slotsPerTarget,
            .coldLimit = m_options.service.coldSlotsPerTarget};
}

void shard_scheduler::takeUsage(const protocol::router_report &report,
                                const protocol::shard_usage &usage, absl::Time now)
{
    if (usage.epochKnown > m_options.epoch)
        m_superseded = true;
    for (const protocol::running_ticket &running : usage.running)
        takeRunning(report.router, running);
    for (const protocol::ticket_outcome &outcome : usage.outcomes)
        takeOutcome(outcome, now);
    if (report.complete)
        releaseUnlisted(report.router, usage, now);
    router_state &router = m_routers[report.router];
    if (usage.epochKnown == m_options.epoch) {
        router.complete = router.complete || report.complete;
        router.highestTicket = std::max(router.highestTicket, usage.highestTicket);
    }
}

void shard_scheduler::takeRunning(const std::string &router,
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
        occupy(running.target, 1);
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

void shard_scheduler::takeOutcome(const protocol::ticket_outcome &outcome, absl::Time now)
{
    const auto found = m_tickets.find({outcome.epoch, outcome.ticket});
    if (found == m_tickets.end())
        return;
    const auto target = m_targets.find(outcome.target);
    if (target != m_targets.end() && carriesEvidence(outcome))
        target->second.admission.observe({.evidence = evidenceOf(outcome),
                                          .instance = outcome.targetInstance,
                                          .startedAt = found->second.grantedAt,
                                          .running = target->second.inUse},
                                         now);
    if (target != m_targets.end() && outcome.ending == protocol::ticket_end::AnsweredWhole)
        target->second.lastSign = now;
    if (outcome.ending == protocol::ticket_end::AnsweredWhole)
        m_estimator.learn(featuresOf(outcome.workspace, outcome.requestKind, outcome.hint),
                          outcome.units);
    settle(found, finalCharge(outcome));
}

void shard_scheduler::releaseUnlisted(const std::string &router, const protocol::shard_usage &usage,
                                      absl::Time /*now*/)
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
        const bool overtaken
            = usage.epochKnown == m_options.epoch && key.second <= usage.highestTicket;
        if (formerEpoch || overtaken)
            settle(current, 0.0);
    }
}

void shard_scheduler::releaseAll(const std::string &router, absl::Time now)
{
    for (auto item = m_tickets.begin(); item != m_tickets.end();) {
        const auto current = item++;
        if (current->second.router != router)
            continue;
        const auto target = m_targets.find(current->second.target);
        if (target != m_targets.end())
            target->second.doubtUntil = now + m_options.doubtDuration;
        settle(current, current->second.running ? current->second.charged : 0.0);
    }
}

void shard_scheduler::updateBacklog(const std::set<std::string> &workspaces)
{
    for (const std::string &workspace : workspaces) {
        if (!m_shares.contains(workspace))
            continue;
        const double liftBefore = m_order.lift(workspace);
        m_order.setBacklogged(workspace, m_demand.isWaiting(workspace));
        if (m_order.lift(workspace) > liftBefore)
            m_ledger.touch(workspace);
    }
}

void shard_scheduler::recountPending(const std::string &router)
{
    m_demand.clearPending(router);
    const std::int64_t seen = m_routers[router].highestTicket;
    for (const auto &[key, ticket] : m_tickets) {
        const bool unseen = key.first == m_options.epoch && key.second > seen;
        if (ticket.router == router && unseen)
            m_demand.addPending(ticket.workspace, router, 1);
    }
}

void shard_scheduler::occupy(const std::string &target, int count)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.inUse += count;
}

void shard_scheduler::settle(ticket_map::iterator ticket, double finalCharge)
{
    const ticket_state &state = ticket->second;
    chargeWorkspace(state.workspace, finalCharge - state.charged);
    occupy(state.target, -1);
    m_tickets.erase(ticket);
}

void shard_scheduler::updateTurn(const std::string &workspace)
{
    const std::uint64_t own = rendezvousWeight(workspace, m_options.shard);
    const auto precedence = std::count_if(
        m_serviceShards.begin(), m_serviceShards.end(),
        [&](const std::string &shard) { return rendezvousWeight(workspace, shard) > own; });
    const double request = m_meanCharges.at(workspace) / m_shares.at(workspace);
    m_order.setTurnOffset(workspace, static_cast<double>(precedence) * request);
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

bool shard_scheduler::isSilent(const target_state &target, absl::Time now) const
{
    return now - target.lastSign > m_options.targetSilence;
}

int shard_scheduler::freeSlots(const target_state &target, ownership_certainty certainty,
                               absl::Time now) const
{
    int limit = target.admission.limit(now);
    if (isSilent(target, now))
        limit = std::min(limit, m_options.service.coldSlotsPerTarget);
    if (target.admission.isCold(now))
        limit = coldShare(certainty, limit);
    const bool doubtful = now < target.doubtUntil || !isComplete(now);
    if (!doubtful)
        return limit - target.inUse;
    const int reported = target.admission.reportedRunning(now);
    const int assumed = reported < 0 ? limit : reported;
    return limit - std::max(target.inUse, assumed);
}

std::vector<std::string> shard_scheduler::freeTargets(ownership_certainty certainty,
                                                      absl::Time now) const
{
    std::vector<std::pair<int, std::string>> free;
    for (const auto &[name, target] : m_targets) {
        const int slots = freeSlots(target, certainty, now);
        if (slots > 0 && m_dataCentresIn.contains(target.admission.listing().dataCentre))
            free.emplace_back(-slots, name);
    }
    std::sort(free.begin(), free.end());
    std::vector<std::string> names;
    for (auto &[slots, name] : free)
        names.push_back(std::move(name));
    return names;
}

std::optional<std::string> shard_scheduler::nextWorkspace(const std::string &dataCentre,
                                                          absl::Time now) const
{
    const bool awaitsTotals = now - m_options.since < m_options.ledgerWait;
    return m_order.next([&](const std::string &workspace) {
        if (awaitsTotals && !m_knownTotals.contains(workspace))
            return false;
        const auto allowed = m_allowedDataCentres.find(workspace);
        const bool excluded
            = allowed != m_allowedDataCentres.end() && !allowed->second.contains(dataCentre);
        return !excluded && m_demand.hasUngranted(workspace);
    });
}

addressed_grant shard_scheduler::issue(const std::string &workspace, const std::string &target,
                                       absl::Time now)
{
    const std::optional<std::string> router = m_demand.routerToServe(workspace);
    QUETZAL_PRECONDITION(router.has_value());
    const router_demand demand = *m_demand.find(workspace, *router);
    const cost_features features = featuresOf(workspace, demand.headKind, demand.headHint);
    const double charged = estimate(features, 0.0);
    const std::int64_t ticket = ++m_lastTicket;
    m_tickets[{m_options.epoch, ticket}] = {.router = *router,
                                            .workspace = workspace,
                                            .target = target,
                                            .requestKind = demand.headKind,
                                            .hint = demand.headHint,
                                            .charged = charged,
                                            .grantedAt = now};
    occupy(target, 1);
    chargeWorkspace(workspace, charged);
    double &mean = m_meanCharges.try_emplace(workspace, charged).first->second;
    mean += (charged - mean) * meanChargeWeight;
    updateTurn(workspace);
    m_demand.addPending(workspace, *router, 1);

    addressed_grant result {.router = *router, .content = {}};
    result.content.shard = m_options.shard;
    result.content.epoch = m_options.epoch;
    result.content.ticket = ticket;
    result.content.target = target;
    result.content.address = m_targets.at(target).admission.listing().address;
    result.content.dataCentre = m_targets.at(target).admission.listing().dataCentre;
    result.content.serviceName = m_options.service.name;
    result.content.workspace = workspace;
    result.content.reportSequence = m_routers[*router].sequence;
    result.content.lifetimeMillis
        = static_cast<std::int32_t>(absl::ToInt64Milliseconds(m_options.grantLifetime));
    return result;
}

} // namespace quetzal
