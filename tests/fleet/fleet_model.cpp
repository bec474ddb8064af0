#include "fleet/fleet_model.h"

#include "configuration/document/document_reader.h"
#include "configuration/revision/configuration_head.h"
#include "foundation/errors/precondition.h"
#include "foundation/hashing/stable_hash.h"
#include "protocol/messages/message_codec.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

namespace {

constexpr absl::Duration storeDelay = absl::Milliseconds(4);
constexpr absl::Duration viewInterval = absl::Milliseconds(50);
constexpr absl::Duration loadInterval = absl::Milliseconds(250);
constexpr absl::Duration listInterval = absl::Milliseconds(500);
constexpr absl::Duration gapInterval = absl::Milliseconds(50);
constexpr std::size_t frameHeaderBytes = 4;
constexpr double largestCost = 400.0;
constexpr double meanLogCost = 4.2;
constexpr char serviceName[] = "service";

} // namespace

fleet_model::fleet_model(fleet_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_routers.resize(m_options.vms);
    m_schedulers.resize(m_options.vms);
    for (int dataCentre = 0; dataCentre < m_options.dataCentres; ++dataCentre) {
        for (int index = 0; index < m_options.targetsPerDataCentre; ++index) {
            const std::string name = "target-" + std::to_string(m_targets.size());
            m_targets.emplace_back(
                fake_target_options {.listing = {.target = name,
                                                 .address = name,
                                                 .service = serviceName,
                                                 .dataCentre = dataCentreName(dataCentre)},
                                     .slots = m_options.slotsPerTarget,
                                     .coldSlots = m_options.coldSlots});
        }
    }
    writeConfiguration();
    for (int vm = 0; vm < m_options.vms; ++vm) {
        startScheduler(vm);
        startRouter(vm);
    }
}

void fleet_model::run(absl::Duration duration)
{
    const absl::Time end = m_now + duration;
    while (m_now < end)
        step();
}

std::map<std::string, double> fleet_model::served() const
{
    std::map<std::string, double> result;
    for (const auto &[workspace, units] : m_served)
        result[workspace] = units;
    return result;
}

double fleet_model::gap() const
{
    const double minShare = *std::min_element(m_options.shares.begin(), m_options.shares.end());
    const double largest = m_options.answeredRequests ? 1.0 : largestCost;
    return m_gap.widest() / (largest / minShare);
}

int fleet_model::attemptsSince(int dataCentre, absl::Time since) const
{
    int count = 0;
    for (int index = 0; index < static_cast<int>(m_targets.size()); ++index) {
        if (index / m_options.targetsPerDataCentre != dataCentre)
            continue;
        const auto &attempts = m_targets[index].attempts();
        count += static_cast<int>(
            std::count_if(attempts.begin(), attempts.end(),
                          [since](const auto &item) { return item.first >= since; }));
    }
    return count;
}

std::vector<std::int64_t> fleet_model::revisions() const
{
    std::vector<std::int64_t> result;
    for (const process<router_node> &router : m_routers) {
        if (!router.node || router.paused)
            continue;
        const bool stopped = router.node->isIsolated(m_now);
        result.push_back(stopped ? 0 : router.node->configurationRevision());
    }
    return result;
}

void fleet_model::resetIdle()
{
    m_idleSince.clear();
    m_longestIdle = absl::ZeroDuration();
}

int fleet_model::vmIndex(const std::string &vm)
{
    return std::stoi(vm.substr(3));
}

std::string fleet_model::routerKey(int vm) const
{
    return vmName(vm) + "/" + std::to_string(m_routers[vm].starts);
}

std::string fleet_model::documentText() const
{
    configuration_document document;
    document.environment = "test";
    for (int index = 0; index < m_options.dataCentres; ++index) {
        const bool out = m_outDataCentres.contains(index);
        document.dataCentres.push_back(
            {.name = dataCentreName(index),
             .state = out ? data_centre_state::Out : data_centre_state::In});
    }
    document.services.push_back(
        {.name = serviceName,
         .unit = m_options.answeredRequests ? service_unit::AnsweredRequests : service_unit::Tokens,
         .models = {"model"},
         .slotsPerTarget = m_options.slotsPerTarget,
         .coldSlotsPerTarget = m_options.coldSlots,
         .largestRequest = largestCost});
    for (std::size_t index = 0; index < m_options.shares.size(); ++index)
        document.workspaces.push_back({.name = workspaceName(static_cast<int>(index)),
                                       .share = m_options.shares[index],
                                       .services = {serviceName}});
    return toCanonicalJson(document);
}

void fleet_model::writeConfiguration()
{
    const std::string text = documentText();
    const std::string digest = sha256Hex(text);
    const configuration_keys keys {.prefix = fleetKeyPrefix};
    const configuration_head head {.revision = ++m_revision,
                                   .digest = digest,
                                   .writeId = std::to_string(m_revision),
                                   .chunks = {digest}};
    store_transaction transaction;
    transaction.puts.push_back({.key = keys.chunk(digest), .value = text});
    transaction.puts.push_back({.key = keys.head(), .value = toJson(head)});
    m_store.perform(transaction, m_now);
}

void fleet_model::step()
{
    m_now += fleetStepLength;
    m_store.advance(m_now);
    pushStoreViews();
    pushVmList();
    pushLoads();
    finishExecutions();
    if (m_generating)
        generate();
    std::vector<timed_call> due;
    const auto firstLater
        = std::partition(m_queue.begin(), m_queue.end(),
                         [this](const timed_call &item) { return item.at <= m_now; });
    due.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(firstLater));
    m_queue.erase(m_queue.begin(), firstLater);
    std::sort(due.begin(), due.end(), [](const timed_call &left, const timed_call &right) {
        return std::tie(left.at, left.order) < std::tie(right.at, right.order);
    });
    for (const timed_call &item : due)
        item.call();
    for (int vm = 0; vm < m_options.vms; ++vm) {
        if (m_schedulers[vm].node && !m_schedulers[vm].paused) {
            m_schedulers[vm].node->advance(m_now);
            takeSchedulerActions(vm);
        }
        if (m_routers[vm].node && !m_routers[vm].paused) {
            m_routers[vm].node->advance(m_now);
            takeRouterActions(vm);
        }
    }
    measureIdle();
    measureGap();
}

void fleet_model::at(absl::Time when, std::function<void()> call)
{
    m_queue.push_back({.at = when, .order = ++m_order, .call = std::move(call)});
}

void fleet_model::sendMessage(const node_id &from, const outgoing_message &outgoing)
{
    ++m_messages;
    const std::size_t frame = encodeMessage(outgoing.content).size() + frameHeaderBytes;
    m_bytes[outgoing.content.index()] += static_cast<std::int64_t>(frame);
    const packet content {.from = from, .to = outgoing.to, .content = outgoing.content};
    const int copies = m_random.uniform() < m_duplicationProbability ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (m_random.uniform() < m_loss)
            continue;
        const absl::Time arrival = m_now + m_options.messageDelay + m_jitter * m_random.uniform();
        at(arrival, [this, content] { deliver(content); });
    }
}

void fleet_model::deliver(const packet &content)
{
    const int from = vmIndex(content.from.vm);
    const int to = vmIndex(content.to.vm);
    if (isPartitioned(from, to))
        return;
    if (content.to.role == node_role::Router) {
        if (m_routers[to].node && !m_routers[to].paused)
            m_routers[to].node->onMessage(content.from, content.content, m_now);
        return;
    }
    if (m_schedulers[to].node && !m_schedulers[to].paused)
        m_schedulers[to].node->onMessage(content.from, content.content, m_now);
}

bool fleet_model::isPartitioned(int left, int right) const
{
    return m_partitionGroup.contains(left) != m_partitionGroup.contains(right);
}

void fleet_model::takeRouterActions(int vm)
{
    for (const router_action &action : m_routers[vm].node->takeActions()) {
        if (const auto *outgoing = std::get_if<outgoing_message>(&action))
            sendMessage({node_role::Router, vmName(vm)}, *outgoing);
        else if (const auto *started = std::get_if<dispatch_request>(&action))
            dispatch(vm, *started);
        else if (const auto *finished = std::get_if<finish_request>(&action)) {
            request_record &record
                = m_requests.at(m_localRequests.at({routerKey(vm), finished->request}));
            QUETZAL_PRECONDITION(!record.callerResult);
            record.callerResult
                = caller_result {.code = finished->code, .execution = finished->execution};
            if (record.executions == 0)
                --m_waiting[{vm, record.workspace}];
        }
    }
}

void fleet_model::takeSchedulerActions(int vm)
{
    for (const scheduler_action &action : m_schedulers[vm].node->takeActions()) {
        if (const auto *outgoing = std::get_if<outgoing_message>(&action))
            sendMessage({node_role::Scheduler, vmName(vm)}, *outgoing);
        else
            sendStoreRequest(vm, std::get<store_request>(action));
    }
}

void fleet_model::sendStoreRequest(int vm, const store_request &request)
{
    const std::int64_t start = m_schedulers[vm].starts;
    const auto answer = [this, vm, start](const store_reply &reply) {
        const bool same = m_schedulers[vm].node && m_schedulers[vm].starts == start;
        if (same && !m_schedulers[vm].paused)
            m_schedulers[vm].node->onStoreReply(reply, m_now);
    };
    const std::uint64_t id
        = std::visit([](const auto &alternative) { return alternative.requestId; }, request);
    at(m_now + storeDelay, [this, vm, request, answer, id] {
        store_reply reply {.requestId = id};
        if (!m_storeDown && !m_storeDisconnectedVms.contains(vm)) {
            reply = m_store.perform(request, m_now);
            if (m_loseStoreAnswers > 0) {
                --m_loseStoreAnswers;
                reply = {.requestId = id};
            }
        }
        at(m_now + storeDelay, [answer, reply] { answer(reply); });
    });
}

void fleet_model::pushStoreViews()
{
    const bool changed = m_store.view().revision != m_pushedStoreRevision;
    if (m_storeDown || (!changed && m_now - m_lastViewAt < viewInterval))
        return;
    m_pushedStoreRevision = m_store.view().revision;
    m_lastViewAt = m_now;
    const store_view view = m_store.view();
    for (int vm = 0; vm < m_options.vms; ++vm) {
        if (m_storeDisconnectedVms.contains(vm) || !m_schedulers[vm].node
            || m_schedulers[vm].paused)
            continue;
        m_schedulers[vm].node->onStoreView(view, m_now);
    }
}

void fleet_model::pushVmList()
{
    if (m_vmListFrozen || m_now - m_lastListAt < listInterval)
        return;
    m_lastListAt = m_now;
    std::vector<scheduler_member> members;
    std::vector<std::string> names;
    for (int vm = 0; vm < m_options.vms; ++vm) {
        members.push_back(
            {.vm = vmName(vm), .dataCentre = dataCentreName(vm % m_options.dataCentres)});
        names.push_back(vmName(vm));
    }
    std::vector<target_listing> listings;
    for (const fake_target &target : m_targets)
        listings.push_back(target.listing());
    for (int vm = 0; vm < m_options.vms; ++vm) {
        if (m_schedulers[vm].node && !m_schedulers[vm].paused)
            m_schedulers[vm].node->setVmList(members, listings, m_now);
        std::vector<std::string> preferred = names;
        std::rotate(preferred.begin(), preferred.begin() + vm, preferred.end());
        if (m_routers[vm].node && !m_routers[vm].paused)
            m_routers[vm].node->setSchedulers(preferred);
    }
}

void fleet_model::pushLoads()
{
    if (m_now - m_lastLoadsAt < loadInterval)
        return;
    m_lastLoadsAt = m_now;
    for (fake_target &target : m_targets) {
        if (!target.isUp())
            continue;
        const target_load load = target.load(m_now);
        for (process<scheduler_node> &scheduler : m_schedulers) {
            if (scheduler.node && !scheduler.paused)
                scheduler.node->onLoad(target.listing().target, load, m_now);
        }
    }
}

void fleet_model::generate()
{
    for (int vm = 0; vm < m_options.vms; ++vm) {
        const bool loaded = m_loadedRouters.empty() || m_loadedRouters.contains(vm);
        const process<router_node> &router = m_routers[vm];
        if (!loaded || !router.node || router.paused || router.stopping)
            continue;
        if (!router.node->configuration() || router.node->isIsolated(m_now))
            continue;
        for (std::size_t workspace = 0; workspace < m_options.shares.size(); ++workspace) {
            const int index = static_cast<int>(workspace);
            while (m_waiting[{vm, workspaceName(index)}] < m_options.backlog)
                submit(vm, index);
        }
    }
}

void fleet_model::submit(int vm, int workspace)
{
    const std::int64_t number = ++m_lastRequest;
    const double cost
        = std::clamp(std::exp(meanLogCost + 0.8 * m_random.normal()), 5.0, largestCost);
    const double hint = workspace == 0 ? cost * m_options.hintFactor : cost;
    m_requests[number] = {.workspace = workspaceName(workspace),
                          .router = routerKey(vm),
                          .submittedAt = m_now,
                          .cost = cost,
                          .idempotent = m_options.idempotent};
    const auto local = static_cast<request_id>(number);
    m_localRequests[{routerKey(vm), local}] = number;
    ++m_waiting[{vm, workspaceName(workspace)}];
    m_routers[vm].node->submit({.id = local,
                                .workspace = workspaceName(workspace),
                                .service = serviceName,
                                .requestKind = "",
                                .hint = hint,
                                .deadline = m_now + m_options.deadline,
                                .idempotent = m_options.idempotent,
                                .bytes = 100},
                               m_now);
    takeRouterActions(vm);
}

void fleet_model::measureIdle()
{
    bool waiting = false;
    for (const process<router_node> &router : m_routers) {
        const bool able = router.node && !router.paused && !router.node->isIsolated(m_now);
        waiting = waiting || (able && router.node->status(m_now).waiting > 0);
    }
    for (int index = 0; index < targetCount(); ++index) {
        const fake_target &target = m_targets[index];
        const int dataCentre = index / m_options.targetsPerDataCentre;
        const bool usable
            = target.isUp() && !target.isDraining() && !m_outDataCentres.contains(dataCentre);
        const bool idle = waiting && usable && target.running() < target.slots();
        const absl::Time since = m_idleSince.try_emplace(index, m_now).first->second;
        if (idle)
            m_longestIdle = std::max(m_longestIdle, m_now - since);
        else
            m_idleSince.erase(index);
    }
}

void fleet_model::measureGap()
{
    if (m_now - m_lastGapAt < gapInterval)
        return;
    m_lastGapAt = m_now;
    std::map<std::string, double> service = m_served;
    for (const fake_target &target : m_targets) {
        for (const execution &item : target.executions()) {
            const absl::Duration elapsed = m_now - item.startedAt;
            if (!m_options.answeredRequests)
                service[m_requests.at(item.request).workspace]
                    += std::min(item.units, absl::ToDoubleSeconds(elapsed) * fleetUnitsPerSecond);
        }
    }
    std::map<std::string, gap_meter::sample> weighted;
    for (std::size_t index = 0; index < m_options.shares.size(); ++index) {
        const std::string name = workspaceName(static_cast<int>(index));
        weighted[name] = {.service = service[name] / m_options.shares[index], .backlogged = true};
    }
    m_gap.add(weighted);
}

} // namespace quetzal
