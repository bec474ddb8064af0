#pragma once

#include "fleet/fleet_model.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace quetzal {

/** The faults that a script can bring about. */
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

/** One fault: when it begins after the previous one, what it is, whom it hits, how long it lasts.
 */
struct fault
{
    fault_kind kind = fault_kind::KillRouter;
    int subject = 0;
    /** Tenths of a second. */
    int delay = 0;
    int length = 0;

    bool operator==(const fault &) const = default;
};

std::ostream &operator<<(std::ostream &stream, const fault &item);

/** Runs a fleet through a list of faults, each of which ends after its length. */
class fault_script
{
public:
    fault_script(fleet_model &fleet, std::vector<fault> faults);

    /** Runs all faults to their ends and then ends whatever is left. */
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

/** What every run must keep; each line names one violation. */
std::vector<std::string> violations(const fleet_model &fleet);

} // namespace quetzal
