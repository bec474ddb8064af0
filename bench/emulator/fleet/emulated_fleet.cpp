#include "emulator/fleet/emulated_fleet.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

constexpr std::uint16_t targetPort = 9000;
/** Interval at which a target retries the write of its record. */
constexpr absl::Duration recordWriteInterval = absl::Milliseconds(1200);
/** The grace period of a planned shutdown, and how often its end is checked. */
constexpr absl::Duration shutdownGrace = absl::Seconds(8);
constexpr absl::Duration shutdownPollInterval = absl::Milliseconds(200);

} // namespace

emulated_fleet::emulated_fleet(event_queue &events, fleet_observer &observer, fleet_plan plan)
    : m_events(events)
    , m_observer(observer)
    , m_plan(std::move(plan))
    , m_store(events)
    , m_random(m_plan.seed)
{
    buildTargets();
    setFatalParts(m_plan.fatalParts);
    buildConfiguration();
    for (int index = 0; index < m_plan.vms; ++index) {
        const auto dataCentre = static_cast<std::size_t>(index) % m_plan.dataCentres.size();
        m_vms.push_back({.name = "vm-" + std::to_string(index + 1),
                         .dataCentre = m_plan.dataCentres[dataCentre]});
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        startVm(vm);
}

emulated_fleet::~emulated_fleet() = default;

void emulated_fleet::buildTargets()
{
    for (const service_plan &service : m_plan.services) {
        for (int index = 0; index < service.targets; ++index) {
            const auto dataCentre = static_cast<std::size_t>(index) % m_plan.dataCentres.size();
            const std::string id = service.name + "-" + std::to_string(index + 1);
            const int slots = service.isModelEngine()
                ? std::get<engine_parameters>(service.parameters).slots
                : std::get<plain_parameters>(service.parameters).slots;
            const target_record record {.id = id,
                                        .service = service.name,
                                        .address = {.host = id, .port = targetPort},
                                        .dataCentre = m_plan.dataCentres[dataCentre],
                                        .slots = slots,
                                        .startedAtMs = absl::ToUnixMillis(m_events.now())};
            m_targets.push_back(std::make_unique<emulated_target>(
                m_events, m_observer,
                target_options {.record = record,
                                .parameters = service.parameters,
                                .cold = service.cold,
                                .seed = m_plan.seed * m_plan.services.size() + m_targets.size()}));
            writeRecord(*m_targets.back());
        }
    }
}

void emulated_fleet::buildConfiguration()
{
    m_configuration.routes = m_plan.routes;
    for (const service_plan &service : m_plan.services) {
        service_description description {.name = service.name,
                                         .maxConnections = service.maxConnections,
                                         .coldStart = service.cold.coldStart,
                                         .coldRequestsPerSecond = service.cold.requestsPerSecond};
        if (service.isModelEngine())
            description.promptCacheTokens
                = std::get<engine_parameters>(service.parameters).memoryTokens;
        m_configuration.services.push_back(description);
    }
    m_configuration.limits.tokensPerSecond = m_plan.tokensPerSecond;
    m_configuration.hasWorkspaces = !m_plan.workspaces.empty();
    for (const std::string &workspace : m_plan.workspaces)
        m_configuration.workspaceOfKey["key-" + workspace] = workspace;
    writeConfiguration([](route_table_options &) {});
}

std::int64_t
emulated_fleet::writeConfiguration(const std::function<void(route_table_options &)> &change)
{
    change(m_configuration);
    ++m_configuration.version;
    const std::string text = std::to_string(m_configuration.version);
    m_documents.tables[text] = std::make_shared<const route_table>(m_configuration);
    m_store.write(configurationKey, text);
    return m_configuration.version;
}

void emulated_fleet::evacuate(const std::string &dataCentre)
{
    m_store.write(evacuationPrefix + dataCentre, "out");
}

void emulated_fleet::endEvacuation(const std::string &dataCentre)
{
    m_store.remove(evacuationPrefix + dataCentre);
}

emulated_router *emulated_fleet::router(std::size_t vm)
{
    return m_vms[vm].router.get();
}

bool emulated_fleet::isReachable(std::size_t vm) const
{
    return m_vms[vm].router && !m_vms[vm].isFrozen;
}

emulated_fleet::emulated_vm &emulated_fleet::findVm(const std::string &name)
{
    return *std::find_if(m_vms.begin(), m_vms.end(),
                         [&](const emulated_vm &vm) { return vm.name == name; });
}

absl::Duration emulated_fleet::delay(const std::string &from, const std::string &to) const
{
    return from == to ? m_plan.intraDataCentreDelay : m_plan.interDataCentreDelay;
}

void emulated_fleet::startVm(std::size_t vm)
{
    emulated_vm &machine = m_vms[vm];
    if (machine.router)
        return;
    const bool isFirst = ++machine.incarnation == 1;
    machine.isFrozen = false;
    emulated_router_options options {
        .node = {.dataCentre = machine.dataCentre,
                 .routers = {.self = machine.name, .members = {}},
                 .fleet = m_plan.limits,
                 .weights = m_plan.weights,
                 .limits = m_plan.backlog,
                 .capacity = m_plan.capacity,
                 .processorShare = m_plan.processor ? m_plan.processor->share : 1.0,
                 .startedAt = isFirst ? absl::InfinitePast() : events().now(),
                 .incarnation = machine.incarnation},
        .digestInterval = m_plan.digestInterval,
        .processor = m_plan.processor};
    machine.router = std::make_unique<emulated_router>(*this, m_store, m_documents, options);
    machine.router->setCopyFromPeer([this, name = machine.name](const std::string &peer,
                                                                std::size_t prefix,
                                                                std::int64_t revision) {
        return copyFromPeer(name, peer, prefix, revision);
    });
    machine.router->start();
}

void emulated_fleet::killVm(std::size_t vm)
{
    emulated_vm &machine = m_vms[vm];
    if (!machine.router)
        return;
    machine.router->end();
    m_endedRouters.push_back(std::move(machine.router));
    machine.isFrozen = false;
}

void emulated_fleet::stopVm(std::size_t vm)
{
    emulated_vm &machine = m_vms[vm];
    if (!machine.router || machine.router->isStopping())
        return;
    const absl::Time endsAt = machine.router->startShutdown(shutdownGrace);
    killWhenIdle(vm, machine.incarnation, endsAt);
}

void emulated_fleet::killWhenIdle(std::size_t vm, std::uint64_t incarnation, absl::Time deadline)
{
    m_events.after(shutdownPollInterval, [this, vm, incarnation, deadline] {
        emulated_vm &machine = m_vms[vm];
        if (!machine.router || machine.incarnation != incarnation)
            return;
        const absl::Time now = m_events.now();
        const bool isIdle
            = machine.router->isRejectingRequests(now) && machine.router->openRequests() == 0;
        if (isIdle || now >= deadline)
            killVm(vm);
        else
            killWhenIdle(vm, incarnation, deadline);
    });
}

void emulated_fleet::freezeVm(std::size_t vm)
{
    if (!m_vms[vm].router)
        return;
    m_vms[vm].isFrozen = true;
    m_vms[vm].router->freeze();
}

void emulated_fleet::unfreezeVm(std::size_t vm)
{
    m_vms[vm].isFrozen = false;
    if (m_vms[vm].router)
        m_vms[vm].router->unfreeze();
}

void emulated_fleet::partitionVm(std::size_t vm)
{
    m_vms[vm].isPartitioned = true;
    m_store.setModeFor(m_vms[vm].name, store_mode::Unresponsive);
}

void emulated_fleet::reconnectVm(std::size_t vm)
{
    m_vms[vm].isPartitioned = false;
    m_store.setModeFor(m_vms[vm].name, store_mode::Serving);
}

copy_answer emulated_fleet::copyFromPeer(const std::string &vm, const std::string &peer,
                                         std::size_t prefix, std::int64_t revision)
{
    copy_answer answer;
    if (findVm(vm).isPartitioned)
        return answer;
    for (const emulated_vm &other : m_vms) {
        const bool isChosen = peer.empty() || other.name == peer;
        if (!isChosen || other.name == vm || other.isPartitioned || !other.router)
            continue;
        answer.isAnswered = true;
        answer.copy = other.router->copyAfter(prefix, revision);
        if (answer.copy)
            return answer;
    }
    return answer;
}

void emulated_fleet::writeRecord(emulated_target &target)
{
    if (!target.isUp())
        return;
    if (!m_store.isServing()) {
        m_events.after(recordWriteInterval, [this, &target] { writeRecord(target); });
        return;
    }
    const std::string text = std::to_string(++m_documentNumber);
    m_documents.records[text] = target.record();
    m_store.write(targetPrefix + target.record().id, text);
    target.onRecordWritten();
}

void emulated_fleet::removeRecord(const std::string &id)
{
    m_store.remove(targetPrefix + id);
}

emulated_target *emulated_fleet::findTarget(const network_address &address)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &target) {
        return target->record().address == address;
    });
    return found == m_targets.end() ? nullptr : found->get();
}

void emulated_fleet::notifyTargetClosed(const network_address &address)
{
    for (const emulated_vm &vm : m_vms) {
        if (vm.router)
            vm.router->onTargetClosed(address);
    }
}

void emulated_fleet::crashTarget(std::size_t index, crash_kind kind)
{
    emulated_target &target = *m_targets[index];
    if (!target.isUp())
        return;
    target.crash(kind == crash_kind::Unresponsive);
    if (kind == crash_kind::Reset)
        notifyTargetClosed(target.record().address);
    const std::int64_t incarnation = target.record().startedAtMs;
    m_events.after(recordLifetime, [this, &target, incarnation] {
        if (!target.isUp() && target.record().startedAtMs == incarnation)
            removeRecord(target.record().id);
    });
}

void emulated_fleet::setFatalParts(const std::vector<std::uint64_t> &parts)
{
    m_fatalParts = {parts.begin(), parts.end()};
    for (std::size_t index = 0; index < m_targets.size(); ++index)
        m_targets[index]->setFatalParts(m_fatalParts, [this, index] { crashFatally(index); });
}

void emulated_fleet::crashFatally(std::size_t index)
{
    m_fatalCrashes.push_back(m_events.now());
    crashTarget(index, crash_kind::Reset);
    m_events.after(m_plan.fatalRestartDelay, [this, index] { restartTarget(index); });
}

void emulated_fleet::restartTarget(std::size_t index)
{
    emulated_target &target = *m_targets[index];
    if (target.isUp())
        return;
    target.restart();
    notifyTargetClosed(target.record().address);
    writeRecord(target);
}

void emulated_fleet::drainTarget(std::size_t index, absl::Duration grace)
{
    emulated_target &target = *m_targets[index];
    if (!target.isUp() || target.record().isDraining)
        return;
    target.setDraining();
    writeRecord(target);
    m_events.after(grace, [this, index] {
        removeRecord(m_targets[index]->record().id);
        crashTarget(index, crash_kind::Reset);
    });
}

void emulated_fleet::makeTargetCold(std::size_t index)
{
    emulated_target &target = *m_targets[index];
    if (!target.isUp())
        return;
    target.makeCold();
    writeRecord(target);
}

} // namespace quetzal::bench
