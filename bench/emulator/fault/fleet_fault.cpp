#include "emulator/fault/fleet_fault.h"

#include <algorithm>
#include <array>

namespace quetzal::bench {

namespace {

constexpr absl::Duration slowLatency = absl::Milliseconds(240);
constexpr absl::Duration usualLatency = absl::Milliseconds(4);
constexpr absl::Duration drainGrace = absl::Milliseconds(2500);
constexpr double burstFactor = 3.0;
constexpr double lostAnswerProbability = 0.3;
constexpr double failureProbability = 0.4;
constexpr double brokenStreamProbability = 0.3;
constexpr double slowdownFactor = 5.0;

constexpr std::array<const char *, static_cast<std::size_t>(fault_kind::Count)> kindNames {
    "KillVm",
    "StopVm",
    "FreezeVm",
    "CutVm",
    "KillAllVms",
    "StoreSilent",
    "StoreBusy",
    "StoreSlow",
    "StoreSilentForOne",
    "StoreBusyForOne",
    "ForgetHistory",
    "CrashTarget",
    "SilenceTarget",
    "DrainTarget",
    "CoolTarget",
    "LoseAnswers",
    "FailRequests",
    "BreakStreams",
    "SlowTarget",
    "Evacuate",
    "ChangeConfiguration",
    "Burst"};

void setFaults(emulated_fleet &fleet, std::size_t target, const target_faults &faults)
{
    fleet.target(target).setFaults(faults);
}

void beginVmFault(emulated_fleet &machines, fault_kind kind, std::size_t vm)
{
    switch (kind) {
    case fault_kind::KillVm:
        machines.killVm(vm);
        break;
    case fault_kind::StopVm:
        machines.stopVm(vm);
        break;
    case fault_kind::FreezeVm:
        machines.freezeVm(vm);
        break;
    case fault_kind::CutVm:
        machines.cutVm(vm);
        break;
    case fault_kind::KillAllVms:
        for (std::size_t each = 0; each < machines.vmCount(); ++each)
            machines.killVm(each);
        break;
    case fault_kind::StoreSilentForOne:
        machines.store().setModeFor("vm-" + std::to_string(vm + 1), store_mode::Silent);
        break;
    case fault_kind::StoreBusyForOne:
        machines.store().setModeFor("vm-" + std::to_string(vm + 1), store_mode::Busy);
        break;
    default:
        break;
    }
}

void beginTargetFault(emulated_fleet &fleet, fault_kind kind, std::size_t target)
{
    switch (kind) {
    case fault_kind::CrashTarget:
        fleet.crashTarget(target, crash_kind::Reset);
        break;
    case fault_kind::SilenceTarget:
        fleet.crashTarget(target, crash_kind::Silent);
        break;
    case fault_kind::DrainTarget:
        fleet.drainTarget(target, drainGrace);
        break;
    case fault_kind::CoolTarget:
        fleet.coolTarget(target);
        break;
    case fault_kind::LoseAnswers:
        setFaults(fleet, target, {.lostAnswerProbability = lostAnswerProbability});
        break;
    case fault_kind::FailRequests:
        setFaults(fleet, target, {.failureProbability = failureProbability});
        break;
    case fault_kind::BreakStreams:
        setFaults(fleet, target, {.brokenStreamProbability = brokenStreamProbability});
        break;
    case fault_kind::SlowTarget:
        setFaults(fleet, target, {.slowdownFactor = slowdownFactor});
        break;
    default:
        break;
    }
}

void beginOther(emulated_fleet &machines, caller_population &callers, fault_kind kind,
                const std::string &dataCentre)
{
    switch (kind) {
    case fault_kind::StoreSilent:
        machines.store().setMode(store_mode::Silent);
        break;
    case fault_kind::StoreBusy:
        machines.store().setMode(store_mode::Busy);
        break;
    case fault_kind::StoreSlow:
        machines.store().setLatency(slowLatency);
        break;
    case fault_kind::ForgetHistory:
        machines.store().compactHistory();
        break;
    case fault_kind::Evacuate:
        machines.evacuate(dataCentre);
        break;
    case fault_kind::ChangeConfiguration:
        machines.writeConfiguration([](route_table_options &options) {
            options.routes.front().timeout += absl::Milliseconds(1);
        });
        break;
    case fault_kind::Burst:
        callers.setLoadFactor(burstFactor);
        break;
    default:
        break;
    }
}

void endFault(emulated_fleet &machines, caller_population &callers, fault_kind kind, std::size_t vm,
              std::size_t target, const std::string &dataCentre)
{
    for (std::size_t each = 0; each < machines.vmCount(); ++each)
        machines.startVm(each);
    machines.unfreezeVm(vm);
    machines.healVm(vm);
    machines.restartTarget(target);
    setFaults(machines, target, {});
    machines.bringBack(dataCentre);
    machines.store().setMode(store_mode::Serving);
    machines.store().setLatency(usualLatency);
    if (kind == fault_kind::Burst)
        callers.setLoadFactor(1.0);
}

} // namespace

std::string toText(fault_kind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::optional<fault_kind> faultKindOf(const std::string &name)
{
    const auto *const found = std::find(kindNames.begin(), kindNames.end(), name);
    if (found == kindNames.end())
        return std::nullopt;
    return static_cast<fault_kind>(found - kindNames.begin());
}

std::ostream &operator<<(std::ostream &out, const fault &entry)
{
    return out << toText(entry.kind) << " of " << entry.subject << " after " << entry.pause
               << " for " << entry.length;
}

absl::Duration schedule(const std::vector<fault> &faults, emulated_fleet &fleet,
                        caller_population &callers)
{
    const absl::Duration shortest = absl::Milliseconds(100);
    absl::Duration begin;
    absl::Duration last;
    for (const fault &entry : faults) {
        begin += entry.pause;
        const auto subject = static_cast<std::size_t>(entry.subject);
        const std::size_t vm = subject % fleet.vmCount();
        const std::size_t target = subject % fleet.targetCount();
        const auto &dataCentres = fleet.plan().dataCentres;
        const std::string dataCentre = dataCentres[subject % dataCentres.size()];
        const fault_kind kind = entry.kind;
        fleet.events().after(begin, [&fleet, &callers, kind, vm, target, dataCentre] {
            beginVmFault(fleet, kind, vm);
            beginTargetFault(fleet, kind, target);
            beginOther(fleet, callers, kind, dataCentre);
        });
        const absl::Duration end = begin + std::max(entry.length, shortest);
        fleet.events().after(end, [&fleet, &callers, kind, vm, target, dataCentre] {
            endFault(fleet, callers, kind, vm, target, dataCentre);
        });
        last = std::max(last, end);
    }
    return last;
}

} // namespace quetzal::bench
