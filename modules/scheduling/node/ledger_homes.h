#pragma once

#include "ownership/shards/shard_ownership.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** Chooses the home of each workspace's ledger account among the schedulers that are alive. */
class ledger_homes
{
public:
    /** self always counts as alive; a scheduler that is silent for homeTimeout does not. */
    ledger_homes(std::string self, absl::Duration homeTimeout);

    /** A scheduler was heard of. */
    void recordHeartbeat(const std::string &vm, absl::Time now);
    /** Looks again who is alive; true when homes may have moved. */
    bool update(const std::vector<scheduler_member> &members, absl::Time now);
    /** The VM whose scheduler is the workspace's home, by rendezvous hashing. */
    const std::string &homeOf(const std::string &workspace);

private:
    std::string m_self;
    absl::Duration m_homeTimeout;
    std::map<std::string, absl::Time> m_lastHeartbeats;
    std::vector<std::string> m_candidates;
    std::map<std::string, std::string> m_homes;
};

} // namespace quetzal
