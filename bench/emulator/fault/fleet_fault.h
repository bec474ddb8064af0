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
    /** Ends a router process at once. */
    KillVm,
    /** Starts a planned shutdown of a router. */
    StopVm,
    /** Freezes a router process. */
    FreezeVm,
    /** Partitions a VM from everything but its callers. */
    CutVm,
    /** Ends all router processes at once. */
    KillAllVms,
    /** The store does not answer. */
    StoreSilent,
    /** The store rejects all calls. */
    StoreBusy,
    /** The store answers with a high latency. */
    StoreSlow,
    /** The store does not answer one router. */
    StoreSilentForOne,
    /** The store rejects all calls of one router. */
    StoreBusyForOne,
    /** The store compacts its history. */
    ForgetHistory,
    /** A target crashes; its connections are reset. */
    CrashTarget,
    /** A target crashes; its connections are not closed. */
    SilenceTarget,
    /** A target drains and stops. */
    DrainTarget,
    /** A running target becomes cold. */
    CoolTarget,
    /** A target loses a fraction of its answers. */
    LoseAnswers,
    /** A target fails a fraction of its requests. */
    FailRequests,
    /** A target truncates a fraction of its streams. */
    BreakStreams,
    /** A target executes requests slowly. */
    SlowTarget,
    /** A data centre is evacuated. */
    Evacuate,
    /** The configuration changes. */
    ChangeConfiguration,
    /** The load increases. */
    Burst,
    /** Number of kinds. */
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
