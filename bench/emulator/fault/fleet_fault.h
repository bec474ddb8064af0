#pragma once

#include "emulator/caller/caller_population.h"
#include "emulator/fleet/emulated_fleet.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Kinds of injected faults. Experiment files use the same names. */
enum class fault_kind
{
    KillVm,
    StopVm,
    FreezeVm,
    CutVm,
    KillAllVms,
    StoreSilent,
    StoreBusy,
    StoreSlow,
    StoreSilentForOne,
    StoreBusyForOne,
    ForgetHistory,
    CrashTarget,
    SilenceTarget,
    DrainTarget,
    CoolTarget,
    LoseAnswers,
    FailRequests,
    BreakStreams,
    SlowTarget,
    Evacuate,
    ChangeConfiguration,
    Burst,
    Count,
};

/** Returns the name of a kind. */
std::string toText(fault_kind kind);
/** Returns the kind with this name; nullopt if there is none. */
std::optional<fault_kind> faultKindOf(const std::string &name);

/** A fault, with its start and duration. */
struct fault
{
    fault_kind kind = fault_kind::KillVm;
    /** Index of the VM, target or data centre, modulo their number. */
    int subject = 0;
    /** Time since the start of the previous fault. */
    absl::Duration delay;
    absl::Duration duration;

    bool operator==(const fault &) const = default;
};

std::ostream &operator<<(std::ostream &out, const fault &entry);

/** Schedules faults from now on; returns the time from now to the end of the last one. */
absl::Duration scheduleFaults(const std::vector<fault> &faults, emulated_fleet &fleet,
                              caller_population &callers);

} // namespace quetzal::bench
