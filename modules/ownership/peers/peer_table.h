#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** The last known state of one peer. */
struct peer_state
{
    std::int64_t incarnation = 0;
    absl::Time lastSeenAt = absl::InfinitePast();
    /** False if the peer's last heartbeat reported that the store does not answer it. */
    bool storeReachable = true;
    bool stopping = false;

    bool operator==(const peer_state &) const = default;
};

/** Tracks when each peer was last in contact and what it reported about itself. */
class peer_table
{
public:
    /** A peer without contact for longer than timeout no longer counts as alive. */
    explicit peer_table(absl::Duration timeout);

    /** Stores the state that a peer's heartbeat reported; ignores one of a lower incarnation. */
    void observePeer(const std::string &vm, const peer_state &state);
    /** Records contact with a peer other than by heartbeat; counts it as reaching the store. */
    void observePeer(const std::string &vm, absl::Time now);

    /** True if there was contact with the peer within the timeout. */
    bool isAlive(const std::string &vm, absl::Time now) const;
    /** Returns the peer's state, or a default one if there was never contact with it. */
    const peer_state &state(const std::string &vm) const;
    /** Returns how many of the given VMs are alive. */
    int countAlive(const std::vector<std::string> &vms, absl::Time now) const;
    /** True if all of the VMs are alive and report that the store does not answer them. */
    bool allWithoutStore(const std::vector<std::string> &vms, absl::Time now) const;
    /** True if at least one of the VMs is alive and reports that the store answers it. */
    bool anyWithStore(const std::vector<std::string> &vms, absl::Time now) const;

private:
    absl::Duration m_timeout;
    std::map<std::string, peer_state> m_peers;
};

} // namespace quetzal
