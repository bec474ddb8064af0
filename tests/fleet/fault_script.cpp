#include "fleet/fault_script.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace quetzal {

namespace {

constexpr absl::Duration faultUnit = absl::Milliseconds(100);

constexpr std::array<const char *, static_cast<std::size_t>(fault_kind::Count)> names {
    "KillRouter",    "KillScheduler", "PauseRouter",   "PauseScheduler", "StopRouter",
    "StopScheduler", "Partition",     "StoreDown",     "StoreCut",       "LoseStoreAnswers",
    "BadNetwork",    "KillTarget",    "RestartTarget", "LeaveTarget",    "LoseAnswers",
    "FreezeVmList",  "DataCentreOut"};

} // namespace

std::ostream &operator<<(std::ostream &stream, const fault &item)
{
    return stream << "{fault_kind::" << names.at(static_cast<std::size_t>(item.kind)) << ", "
                  << item.subject << ", " << item.delay << ", " << item.length << "}";
}

fault_script::fault_script(fleet_model &fleet, std::vector<fault> faults)
    : m_fleet(fleet)
    , m_faults(std::move(faults))
{
}

void fault_script::run()
{
    for (const fault &item : m_faults) {
        runUntil(m_fleet.now() + item.delay * faultUnit);
        begin(item);
        m_endings.push_back({m_fleet.now() + item.length * faultUnit, item});
    }
    absl::Time last = m_fleet.now();
    for (const ending &item : m_endings)
        last = std::max(last, item.at);
    runUntil(last);
    m_fleet.heal();
}

void fault_script::begin(const fault &item)
{
    constexpr int vms = 3;
    const int vm = item.subject % vms;
    const int target = item.subject % m_fleet.targetCount();
    switch (item.kind) {
    case fault_kind::KillRouter:
        return m_fleet.killRouter(vm);
    case fault_kind::KillScheduler:
        return m_fleet.killScheduler(vm);
    case fault_kind::PauseRouter:
        return m_fleet.pauseRouter(vm, true);
    case fault_kind::PauseScheduler:
        return m_fleet.pauseScheduler(vm, true);
    case fault_kind::StopRouter:
        return m_fleet.stopRouterGracefully(vm);
    case fault_kind::StopScheduler:
        return m_fleet.stopSchedulerGracefully(vm);
    case fault_kind::Partition:
        return m_fleet.partition({vm});
    case fault_kind::StoreDown:
        return m_fleet.setStoreDown(true);
    case fault_kind::StoreCut:
        return m_fleet.setStoreDisconnected(vm, true);
    case fault_kind::LoseStoreAnswers:
        return m_fleet.loseStoreAnswers(1 + item.length % 5);
    case fault_kind::BadNetwork:
        return m_fleet.setNetwork(0.1, 0.1, absl::Milliseconds(80));
    case fault_kind::KillTarget:
        return m_fleet.killTarget(target);
    case fault_kind::RestartTarget:
        return m_fleet.restartTarget(target);
    case fault_kind::LeaveTarget:
        return m_fleet.setTargetDraining(target, true);
    case fault_kind::LoseAnswers:
        return m_fleet.loseAnswers(target, 2);
    case fault_kind::FreezeVmList:
        return m_fleet.freezeVmList(true);
    case fault_kind::DataCentreOut:
        m_fleet.setDataCentresOut({item.subject % 2});
        return;
    case fault_kind::Count:
        return;
    }
}

void fault_script::end(const fault &item)
{
    constexpr int vms = 3;
    const int vm = item.subject % vms;
    const int target = item.subject % m_fleet.targetCount();
    switch (item.kind) {
    case fault_kind::KillRouter:
    case fault_kind::StopRouter:
        m_fleet.killRouter(vm);
        return m_fleet.startRouter(vm);
    case fault_kind::KillScheduler:
    case fault_kind::StopScheduler:
        m_fleet.killScheduler(vm);
        return m_fleet.startScheduler(vm);
    case fault_kind::PauseRouter:
        return m_fleet.pauseRouter(vm, false);
    case fault_kind::PauseScheduler:
        return m_fleet.pauseScheduler(vm, false);
    case fault_kind::Partition:
        return m_fleet.partition({});
    case fault_kind::StoreDown:
        return m_fleet.setStoreDown(false);
    case fault_kind::StoreCut:
        return m_fleet.setStoreDisconnected(vm, false);
    case fault_kind::BadNetwork:
        return m_fleet.setNetwork(0.0, 0.0, absl::ZeroDuration());
    case fault_kind::KillTarget:
        return m_fleet.restartTarget(target);
    case fault_kind::LeaveTarget:
        return m_fleet.setTargetDraining(target, false);
    case fault_kind::FreezeVmList:
        return m_fleet.freezeVmList(false);
    case fault_kind::DataCentreOut:
        m_fleet.setDataCentresOut({});
        return;
    case fault_kind::LoseStoreAnswers:
    case fault_kind::RestartTarget:
    case fault_kind::LoseAnswers:
    case fault_kind::Count:
        return;
    }
}

void fault_script::runUntil(absl::Time time)
{
    while (true) {
        const auto next = std::min_element(
            m_endings.begin(), m_endings.end(),
            [](const ending &left, const ending &right) { return left.at < right.at; });
        if (next == m_endings.end() || next->at > time)
            break;
        const ending due = *next;
        m_endings.erase(next);
        if (due.at > m_fleet.now())
            m_fleet.run(due.at - m_fleet.now());
        end(due.item);
    }
    if (time > m_fleet.now())
        m_fleet.run(time - m_fleet.now());
}

std::vector<std::string> violations(const fleet_model &fleet)
{
    std::vector<std::string> found;
    for (const auto &[number, record] : fleet.requests()) {
        const std::string name = "request " + std::to_string(number) + " of " + record.router;
        if (!record.idempotent && record.executions > 1)
            found.push_back(name + " ran " + std::to_string(record.executions) + " times");
        if (!record.callerResult) {
            if (!record.disconnected)
                found.push_back(name + " was never answered");
            continue;
        }
        if (record.callerResult->execution == execution_state::NotRun && record.executions > 0)
            found.push_back(name + " was reported as not run but ran");
        if (record.callerResult->code == result_code::Ok && record.completeExecutions == 0)
            found.push_back(name + " was reported as answered but did not run to completion");
    }
    return found;
}

} // namespace quetzal
