#pragma once

#include "emulator/caller/caller_population.h"
#include "emulator/fleet/emulated_fleet.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Kinds of trouble from outside the routers. */
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

std::string toText(fault_kind kind);
/** The kind of this name; nothing when there is none. */
std::optional<fault_kind> faultKindOf(const std::string &name);

/** One fault: begins after a pause, and is over after its length. */
struct fault
{
    fault_kind kind = fault_kind::KillVm;
    /** Which VM, target or data centre, as far as there are so many. */
    int subject = 0;
    /** Since the beginning of the fault before it. */
    absl::Duration delay;
    absl::Duration duration;

    bool operator==(const fault &) const = default;
};

std::ostream &operator<<(std::ostream &out, const fault &entry);

/** Schedules faults from now on; returns when the last of them is over. */
absl::Duration scheduleFaults(const std::vector<fault> &faults, emulated_fleet &fleet,
                              caller_population &callers);

} // namespace quetzal::bench
