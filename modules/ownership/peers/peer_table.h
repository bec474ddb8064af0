#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** What is known of one peer. */
struct peer_state
{
    std::int64_t incarnation = 0;
    absl::Time lastSeenAt = absl::InfinitePast();
    /** False when the peer said in its last heartbeat that the store does not answer it. */
    bool storeReachable = true;
    bool stopping = false;

    bool operator==(const peer_state &) const = default;
};

/** When each peer was last heard of and what it said about itself. */
class peer_table
{
public:
    /** A peer counts as silent when it was not heard of for this long. */
    explicit peer_table(absl::Duration timeout);

    /** A peer was heard of; a state of a lower incarnation is ignored. */
    void observePeer(const std::string &vm, const peer_state &state);
    /** A peer was heard of in another way than by heartbeat. */
    void observePeer(const std::string &vm, absl::Time now);

    bool isAlive(const std::string &vm, absl::Time now) const;
    /** The peer's state; a default one when it was never heard of. */
    const peer_state &state(const std::string &vm) const;
    /** How many of the given VMs were heard of lately. */
    int countAlive(const std::vector<std::string> &vms, absl::Time now) const;
    /** True when every one of the VMs said lately that the store does not answer it. */
    bool allWithoutStore(const std::vector<std::string> &vms, absl::Time now) const;
    /** True when one of the VMs said lately that the store answers it. */
    bool anyWithStore(const std::vector<std::string> &vms, absl::Time now) const;

private:
    absl::Duration m_timeout;
    std::map<std::string, peer_state> m_peers;
};

} // namespace quetzal
