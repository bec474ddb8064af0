#pragma once

#include "ownership/shards/shard_ownership.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** Selects the home of each workspace's ledger account from the schedulers that are alive. */
class ledger_homes
{
public:
    /**
     * Creates a selector with this scheduler as the only candidate.
     *
     * @param self         the VM of this scheduler, which always counts as alive
     * @param homeTimeout  a scheduler without a heartbeat for this long does not count as alive
     */
    ledger_homes(std::string self, absl::Duration homeTimeout);

    /** Records a heartbeat of a scheduler. */
    void recordHeartbeat(const std::string &vm, absl::Time now);
    /** Determines again which members are alive. Returns true if homes may have changed. */
    bool update(const std::vector<scheduler_member> &members, absl::Time now);
    /** Returns the VM of the workspace's home, which is chosen by rendezvous hashing. */
    const std::string &homeOf(const std::string &workspace);

private:
    std::string m_self;
    absl::Duration m_homeTimeout;
    std::map<std::string, absl::Time> m_lastHeartbeats;
    std::vector<std::string> m_candidates;
    std::map<std::string, std::string> m_homes;
};

} // namespace quetzal
