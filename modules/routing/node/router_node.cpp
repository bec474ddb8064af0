#include "routing/node/router_node.h"

#include "foundation/errors/precondition.h"

#include <algorithm>
#include <type_traits>

namespace quetzal {

namespace {

constexpr absl::Duration retryAdvice = absl::Seconds(1);
/** Grants that answer a report older than this are no longer usable. */
constexpr absl::Duration reportRetention = absl::Seconds(20);

protocol::ticket_end ticketEndOf(attempt_ending ending)
{
    switch (ending) {
    case attempt_ending::Completed:
        return protocol::ticket_end::AnsweredWhole;
    case attempt_ending::NotSent:
    case attempt_ending::RejectedNotExecuted:
        return protocol::ticket_end::RefusedUnrun;
    case attempt_ending::Cancelled:
        return protocol::ticket_end::Cancelled;
    case attempt_ending::LostBeforeAnswer:
    case attempt_ending::LostDuringAnswer:
    case attempt_ending::Mismatched:
        return protocol::ticket_end::Failed;
    }
    return protocol::ticket_end::Failed;
}

} // namespace

router_node::router_node(router_node_options options)
    : m_options(std::move(options))
    , m_waiting(m_options.maxWaitingRequests)
{
}

void router_node::setSchedulers(std::vector<std::string> vms)
{
    if (vms == m_schedulers)
        return;
    m_schedulers = std::move(vms);
    m_homeIndex = 0;
}

void router_node::submit(const request_description &request, absl::Time now)
{
    if (m_stopping)
        return finish(request, result_code::RouterStopping, execution_state::NotRun);
    if (!configuration())
        return finish(request, result_code::ConfigurationMissing, execution_state::NotRun);
    if (isIsolated(now))
        return finish(request, result_code::RouterIsolated, execution_state::NotRun);
    if (request.deadline <= now)
        return finish(request, result_code::DeadlineBeforeDispatch, execution_state::NotRun);

    const result_code pushed = m_waiting.push(request, limitsOf(request.workspace), now);
    if (pushed != result_code::Ok)
        return finish(request, pushed, execution_state::NotRun);
    m_retries.onRequest(request.service);
    markReportsDue(request.service);
}

void router_node::onProgress(request_id request, double units)
{
    const auto found = m_running.find(request);
    if (found != m_running.end())
        ticketsOf(found->second.ticket.shard).setUnits(found->second.ticket, units);
}

void router_node::onAttemptEnded(request_id request, const attempt_result &result, absl::Time now)
{
    const auto found = m_running.find(request);
    QUETZAL_PRECONDITION(found != m_running.end());
    const running_request running = found->second;
    m_running.erase(found);
    ticketsOf(running.ticket.shard).end(running.ticket, ticketEndOf(result.ending), result);
    markOwnerReportDue(running.ticket.shard);
    settleAttempt(running, result, now);
}

void router_node::onCallerDisconnected(request_id request, absl::Time /*now*/)
{
    if (m_waiting.remove(request)) {
        finish({.id = request}, result_code::CallerGone, execution_state::NotRun);
        return;
    }
    const auto found = m_running.find(request);
    if (found == m_running.end() || found->second.cancelled)
        return;
    found->second.cancelled = true;
    m_actions.emplace_back(cancel_attempt {request});
}

void router_node::onMessage(const node_id &from, const message &content, absl::Time now)
{
    if (const auto *grants = std::get_if<protocol::grant_batch>(&content))
        onGrants(from, *grants, now);
    else if (const auto *view = std::get_if<protocol::fleet_view>(&content))
        onFleetView(*view, now);
    else if (const auto *update = std::get_if<protocol::configuration_update>(&content))
        m_follower.onDocument(update->revision, update->digest, update->document);
}

void router_node::beginStop(absl::Time /*now*/)
{
    m_stopping = true;
}

void router_node::advance(absl::Time now)
{
    rejectExpired(now);
    rejectWhileIsolated(now);
    sendReports(now);
}

std::vector<router_action> router_node::takeActions()
{
    return std::exchange(m_actions, {});
}

bool router_node::isIsolated(absl::Time now) const
{
    return now - m_lastConnectedView > m_options.isolationTimeout;
}

bool router_node::isFinished() const
{
    const bool ticketsIdle = std::all_of(m_tickets.begin(), m_tickets.end(),
                                         [](const auto &item) { return item.second.isIdle(); });
    return m_stopping && m_waiting.size() == 0 && m_running.empty() && ticketsIdle;
}

router_status router_node::status(absl::Time now) const
{
    return {.configurationRevision = configurationRevision(),
            .isolated = isIsolated(now),
            .stopping = m_stopping,
            .waiting = m_waiting.size(),
            .running = static_cast<int>(m_running.size())};
}

void router_node::onGrants(const node_id &from, const protocol::grant_batch &batch, absl::Time now)
{
    for (auto &[shard, tickets] : m_tickets) {
        const auto known = m_shards.find(shard);
        if (known != m_shards.end() && known->second.owner == from.vm)
            tickets.acknowledge(batch.acknowledgedSequence);
    }
    for (const protocol::grant &content : batch.grants)
        onGrant(content, now);
    for (const protocol::revocation &item : batch.revocations) {
        ticketsOf(item.shard).revoke(item);
        markOwnerReportDue(item.shard);
    }
}

void router_node::onGrant(const protocol::grant &content, absl::Time now)
{
    shard_tickets &tickets = ticketsOf(content.shard);
    if (tickets.receive(content) != grant_reception::Accepted)
        return;
    markOwnerReportDue(content.shard);
    std::optional<request_description> request;
    if (isGrantUsable(content, now))
        request = m_waiting.pop(content.serviceName, content.workspace);
    if (!request)
        return tickets.returnUnused(content);
    tickets.begin(content, *request);
    dispatch(content, *request);
}

bool router_node::isGrantUsable(const protocol::grant &content, absl::Time now) const
{
    const auto sent
        = std::find_if(m_sentReports.begin(), m_sentReports.end(), [&content](const auto &item) {
              return item.first == content.reportSequence;
          });
    if (sent == m_sentReports.end())
        return false;
    if (now >= sent->second + absl::Milliseconds(content.lifetimeMillis))
        return false;
    const auto current = configuration();
    const bool inUse = current && current->document.isDataCentreIn(content.dataCentre);
    return inUse && !isIsolated(now);
}

void router_node::dispatch(const protocol::grant &content, const request_description &request)
{
    const std::int64_t attempts = ++m_attempts[request.id];
    const ticket_reference ticket {
        .shard = content.shard, .epoch = content.epoch, .ticket = content.ticket};
    m_running[request.id] = {.request = request, .ticket = ticket, .attempts = attempts};
    m_actions.emplace_back(dispatch_request {.request = request.id,
                                             .ticket = ticket,
                                             .target = content.target,
                                             .address = content.address,
                                             .deadline = request.deadline});
}

void router_node::onFleetView(const protocol::fleet_view &view, absl::Time now)
{
    m_lastView = now;
    if (view.connected)
        m_lastConnectedView = now;
    for (const protocol::shard_owner &owner : view.owners)
        observeOwner(owner);
    if (view.configurationRevision <= configurationRevision())
        return;
    protocol::configuration_request request;
    request.haveRevision = configurationRevision();
    m_actions.emplace_back(
        outgoing_message {{node_role::Scheduler, view.scheduler}, std::move(request)});
}

void router_node::observeOwner(const protocol::shard_owner &owner)
{
    known_shard &known = m_shards[owner.shard];
    if (owner.epoch < known.epoch)
        return;
    const bool changed = owner.epoch > known.epoch;
    known = {.service = owner.serviceName, .owner = owner.owner, .epoch = owner.epoch};
    if (!changed)
        return;
    ticketsOf(owner.shard).observeEpoch(owner.epoch);
    m_owners[owner.owner].completeReportDue = true;
}

void router_node::finish(const request_description &request, result_code code,
                         execution_state execution)
{
    m_attempts.erase(request.id);
    if (m_mayHaveRun.erase(request.id) > 0 && execution == execution_state::NotRun)
        execution = execution_state::OutcomeUnknown;
    m_actions.emplace_back(finish_request {
        .request = request.id, .code = code, .execution = execution, .retryAfter = retryAdvice});
}

void router_node::settleAttempt(const running_request &running, const attempt_result &result,
                                absl::Time now)
{
    const request_description &request = running.request;
    switch (result.ending) {
    case attempt_ending::Completed:
        return finish(request, result_code::Ok, execution_state::Run);
    case attempt_ending::NotSent:
    case attempt_ending::RejectedNotExecuted:
        return retryOrFinish(running, result_code::TargetRefused, false, now);
    case attempt_ending::LostBeforeAnswer:
        if (request.idempotent && !running.cancelled)
            return retryOrFinish(running, result_code::TargetFailed, true, now);
        return finish(request, result_code::OutcomeUnknown, execution_state::OutcomeUnknown);
    case attempt_ending::Mismatched:
        if (request.idempotent && !running.cancelled)
            return retryOrFinish(running, result_code::AnswerMismatched, true, now);
        return finish(request, result_code::AnswerMismatched, execution_state::OutcomeUnknown);
    case attempt_ending::LostDuringAnswer:
        return finish(request, result_code::AnswerTruncated, execution_state::OutcomeUnknown);
    case attempt_ending::Cancelled:
        return finish(request, result_code::DeadlineDuringAnswer, execution_state::OutcomeUnknown);
    }
}

void router_node::retryOrFinish(const running_request &running, result_code code, bool costsBudget,
                                absl::Time now)
{
    const request_description &request = running.request;
    const execution_state execution
        = costsBudget ? execution_state::OutcomeUnknown : execution_state::NotRun;
    if (running.cancelled)
        return finish(request, result_code::CallerGone, execution);
    if (request.deadline <= now) {
        const result_code late
            = costsBudget ? result_code::DeadlineDuringAnswer : result_code::DeadlineBeforeDispatch;
        return finish(request, late, execution);
    }
    if (costsBudget)
        m_mayHaveRun.insert(request.id);
    const bool allowed = running.attempts < m_options.maxAttempts
        && (!costsBudget || m_retries.trySpend(request.service));
    if (!allowed)
        return finish(request, code, execution);
    m_waiting.pushFront(request, now);
    markReportsDue(request.service);
}

void router_node::rejectExpired(absl::Time now)
{
    for (const request_description &request : m_waiting.popExpired(now))
        finish(request, result_code::DeadlineBeforeDispatch, execution_state::NotRun);
}

void router_node::rejectWhileIsolated(absl::Time now)
{
    if (m_waiting.size() == 0 || !isIsolated(now))
        return;
    for (const request_description &request : m_waiting.popAll())
        finish(request, result_code::RouterIsolated, execution_state::NotRun);
}

void router_node::sendReports(absl::Time now)
{
    const std::string home = homeScheduler(now);
    if (!home.empty())
        m_owners.try_emplace(home);

    for (auto &[owner, state] : m_owners) {
        const bool isHome = owner == home;
        const absl::Duration sinceLast = now - state.lastReport;
        const bool complete = state.completeReportDue
            || (now - state.lastCompleteReport >= m_options.completeInterval
                && hasOutstandingWorkWith(owner));
        const bool heartbeatDue = isHome && sinceLast >= m_options.heartbeatInterval;
        const bool changesDue = (state.reportDue || state.completeReportDue)
            && sinceLast >= m_options.minReportInterval;
        if (!heartbeatDue && !changesDue && !(complete && !state.completeReportDue))
            continue;
        state.lastReport = now;
        if (complete)
            state.lastCompleteReport = now;
        state.reportDue = false;
        state.completeReportDue = false;
        m_actions.emplace_back(outgoing_message {{node_role::Scheduler, owner},
                                                 makeReport(owner, complete, isHome, now)});
    }
    while (!m_sentReports.empty() && m_sentReports.front().second + reportRetention < now)
        m_sentReports.pop_front();
}

protocol::router_report router_node::makeReport(const std::string &owner, bool complete,
                                                bool wantsView, absl::Time now)
{
    protocol::router_report report;
    report.router = m_options.vm;
    report.incarnation = m_options.incarnation;
    report.sequence = ++m_sequence;
    report.configurationRevision = configurationRevision();
    report.stopping = m_stopping;
    report.complete = complete;
    report.wantsView = wantsView;
    m_sentReports.emplace_back(m_sequence, now);

    std::set<std::string> services;
    for (const auto &[shard, known] : m_shards) {
        if (known.owner != owner)
            continue;
        services.insert(known.service);
        shard_tickets &tickets = ticketsOf(shard);
        if (complete)
            report.usages.push_back(tickets.completeUsage(m_sequence));
        else if (tickets.hasUnreported())
            report.usages.push_back(tickets.unreportedUsage(m_sequence));
    }
    for (const std::string &service : services) {
        protocol::service_demand demand = makeDemand(service, m_owners[owner], complete);
        if (!demand.workspaces.empty())
            report.demands.push_back(std::move(demand));
    }
    return report;
}

protocol::service_demand router_node::makeDemand(const std::string &service, owner_state &state,
                                                 bool complete)
{
    protocol::service_demand demand;
    demand.serviceName = service;
    const auto add = [&demand](const queue_summary &summary) {
        protocol::workspace_demand item;
        item.workspace = summary.workspace;
        item.waiting = summary.waiting;
        item.headKind = summary.headKind;
        item.headHint = summary.headHint;
        demand.workspaces.push_back(std::move(item));
    };
    std::map<std::string, queue_summary> &reportedQueues = state.reportedQueues[service];
    std::map<std::string, queue_summary> currentQueues;
    for (queue_summary &summary : m_waiting.summaries(service))
        currentQueues.emplace(summary.workspace, std::move(summary));
    for (const auto &[workspace, summary] : currentQueues) {
        const auto before = reportedQueues.find(workspace);
        if (complete || before == reportedQueues.end() || !(before->second == summary))
            add(summary);
    }
    for (const auto &[workspace, summary] : reportedQueues) {
        if (!complete && !currentQueues.contains(workspace))
            add({.workspace = workspace, .waiting = 0, .headKind = "", .headHint = 0.0});
    }
    reportedQueues = std::move(currentQueues);
    return demand;
}

void router_node::markReportsDue(const std::string &service)
{
    for (const auto &[shard, known] : m_shards) {
        if (known.service == service)
            m_owners[known.owner].reportDue = true;
    }
}

void router_node::markOwnerReportDue(const std::string &shard)
{
    const auto known = m_shards.find(shard);
    if (known != m_shards.end())
        m_owners[known->second.owner].reportDue = true;
}

bool router_node::hasOutstandingWorkWith(const std::string &owner) const
{
    return std::any_of(m_shards.begin(), m_shards.end(), [&](const auto &item) {
        if (item.second.owner != owner)
            return false;
        const auto tickets = m_tickets.find(item.first);
        const bool busy = tickets != m_tickets.end() && !tickets->second.isIdle();
        return busy || !m_waiting.summaries(item.second.service).empty();
    });
}

std::string router_node::homeScheduler(absl::Time now)
{
    if (m_schedulers.empty())
        return {};
    const bool unresponsive = now - m_lastView > m_options.homeTimeout;
    const bool tried = now - m_homeSince > m_options.homeTryInterval;
    if (unresponsive && tried) {
        if (m_homeSince != absl::InfinitePast())
            m_homeIndex = (m_homeIndex + 1) % m_schedulers.size();
        m_homeSince = now;
    }
    return m_schedulers[m_homeIndex];
}

shard_tickets &router_node::ticketsOf(const std::string &shard)
{
    return m_tickets.try_emplace(shard, shard).first->second;
}

queue_limits router_node::limitsOf(const std::string &workspace) const
{
    const workspace_definition *found = configuration()->document.findWorkspace(workspace);
    if (found == nullptr)
        return {};
    return {.requests = found->limits.waitingRequests, .bytes = found->limits.bufferedBytes};
}

} // namespace quetzal
