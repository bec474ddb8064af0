#include "emulator/fault/fleet_fault.h"

#include <algorithm>
#include <array>

namespace quetzal::bench {

namespace {

constexpr absl::Duration slowLatency = absl::Milliseconds(240);
constexpr absl::Duration defaultLatency = absl::Milliseconds(4);
constexpr absl::Duration drainGrace = absl::Milliseconds(2500);
constexpr double burstLoadFactor = 3.0;
constexpr double lostAnswerProbability = 0.3;
constexpr double failureProbability = 0.4;
constexpr double brokenStreamProbability = 0.3;
constexpr double slowdownFactor = 5.0;

constexpr std::array<const char *, static_cast<std::size_t>(fault_kind::Count)> faultNames {
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

void beginVmFault(emulated_fleet &fleet, fault_kind kind, std::size_t vm)
{
    switch (kind) {
    case fault_kind::KillVm:
        fleet.killVm(vm);
        break;
    case fault_kind::StopVm:
        fleet.stopVm(vm);
        break;
    case fault_kind::FreezeVm:
        fleet.freezeVm(vm);
        break;
    case fault_kind::CutVm:
        fleet.partitionVm(vm);
        break;
    case fault_kind::KillAllVms:
        for (std::size_t each = 0; each < fleet.vmCount(); ++each)
            fleet.killVm(each);
        break;
    case fault_kind::StoreSilentForOne:
        fleet.store().setModeFor("vm-" + std::to_string(vm + 1), store_mode::Unresponsive);
        break;
    case fault_kind::StoreBusyForOne:
        fleet.store().setModeFor("vm-" + std::to_string(vm + 1), store_mode::Busy);
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
        fleet.crashTarget(target, crash_kind::Unresponsive);
        break;
    case fault_kind::DrainTarget:
        fleet.drainTarget(target, drainGrace);
        break;
    case fault_kind::CoolTarget:
        fleet.makeTargetCold(target);
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

void beginFleetFault(emulated_fleet &fleet, caller_population &callers, fault_kind kind,
                     const std::string &dataCentre)
{
    switch (kind) {
    case fault_kind::StoreSilent:
        fleet.store().setMode(store_mode::Unresponsive);
        break;
    case fault_kind::StoreBusy:
        fleet.store().setMode(store_mode::Busy);
        break;
    case fault_kind::StoreSlow:
        fleet.store().setLatency(slowLatency);
        break;
    case fault_kind::ForgetHistory:
        fleet.store().compactHistory();
        break;
    case fault_kind::Evacuate:
        fleet.evacuate(dataCentre);
        break;
    case fault_kind::ChangeConfiguration:
        fleet.writeConfiguration([](route_table_options &options) {
            options.routes.front().timeout += absl::Milliseconds(1);
        });
        break;
    case fault_kind::Burst:
        callers.setLoadFactor(burstLoadFactor);
        break;
    default:
        break;
    }
}

/**
 * Ends the faults of all kinds at the store and at this VM, target and data centre, so also
 * overlapping ones; a burst ends only with its own fault.
 */
void endFault(emulated_fleet &fleet, caller_population &callers, fault_kind kind, std::size_t vm,
              std::size_t target, const std::string &dataCentre)
{
    for (std::size_t each = 0; each < fleet.vmCount(); ++each)
        fleet.startVm(each);
    fleet.unfreezeVm(vm);
    fleet.reconnectVm(vm);
    fleet.restartTarget(target);
    setFaults(fleet, target, {});
    fleet.endEvacuation(dataCentre);
    fleet.store().setMode(store_mode::Serving);
    fleet.store().setLatency(defaultLatency);
    if (kind == fault_kind::Burst)
        callers.setLoadFactor(1.0);
}

} // namespace

std::string toText(fault_kind kind)
{
    return faultNames.at(static_cast<std::size_t>(kind));
}

std::optional<fault_kind> faultKindOf(const std::string &name)
{
    const auto *const found = std::find(faultNames.begin(), faultNames.end(), name);
    if (found == faultNames.end())
        return std::nullopt;
    return static_cast<fault_kind>(found - faultNames.begin());
}

std::ostream &operator<<(std::ostream &out, const fault &entry)
{
    return out << toText(entry.kind) << " of " << entry.subject << " after " << entry.delay
               << " for " << entry.duration;
}

absl::Duration scheduleFaults(const std::vector<fault> &faults, emulated_fleet &fleet,
                              caller_population &callers)
{
    const absl::Duration minDuration = absl::Milliseconds(100);
    absl::Duration begin;
    absl::Duration last;
    for (const fault &entry : faults) {
        begin += entry.delay;
        const auto subject = static_cast<std::size_t>(entry.subject);
        const std::size_t vm = subject % fleet.vmCount();
        const std::size_t target = subject % fleet.targetCount();
        const auto &dataCentres = fleet.plan().dataCentres;
        const std::string dataCentre = dataCentres[subject % dataCentres.size()];
        const fault_kind kind = entry.kind;
        fleet.events().after(begin, [&fleet, &callers, kind, vm, target, dataCentre] {
            beginVmFault(fleet, kind, vm);
            beginTargetFault(fleet, kind, target);
            beginFleetFault(fleet, callers, kind, dataCentre);
        });
        const absl::Duration end = begin + std::max(entry.duration, minDuration);
        fleet.events().after(end, [&fleet, &callers, kind, vm, target, dataCentre] {
            endFault(fleet, callers, kind, vm, target, dataCentre);
        });
        last = std::max(last, end);
    }
    return last;
}

} // namespace quetzal::bench
