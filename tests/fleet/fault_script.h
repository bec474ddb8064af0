#pragma once

#include "fleet/fleet_model.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace quetzal {

/** The kinds of faults that a script can inject. */
enum class fault_kind
{
    KillRouter,
    KillScheduler,
    PauseRouter,
    PauseScheduler,
    StopRouter,
    StopScheduler,
    Partition,
    StoreDown,
    StoreCut,
    LoseStoreAnswers,
    BadNetwork,
    KillTarget,
    RestartTarget,
    LeaveTarget,
    LoseAnswers,
    FreezeVmList,
    DataCentreOut,
    Count,
};

/** One fault: its kind, the VM or target it affects, when it starts and how long it lasts. */
struct fault
{
    fault_kind kind = fault_kind::KillRouter;
    int subject = 0;
    /** Delay after the start of the previous fault, and length, in tenths of a second. */
    int delay = 0;
    int length = 0;

    bool operator==(const fault &) const = default;
};

/** Writes a fault as an initialiser in C++. */
std::ostream &operator<<(std::ostream &stream, const fault &item);

/** Injects a list of faults into a fleet; each fault ends after its length. */
class fault_script
{
public:
    fault_script(fleet_model &fleet, std::vector<fault> faults);

    /** Runs until all faults have ended, and then restores the processes and the network. */
    void run();

private:
    struct ending
    {
        absl::Time at;
        fault item;
    };

    void begin(const fault &item);
    void end(const fault &item);
    void runUntil(absl::Time time);

    fleet_model &m_fleet;
    std::vector<fault> m_faults;
    std::vector<ending> m_endings;
};

/**
 * Checks the guarantees for every request. Returns one line for each violation.
 */
std::vector<std::string> violations(const fleet_model &fleet);

} // namespace quetzal
