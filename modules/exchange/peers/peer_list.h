#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/**
 * The hosts of the other routers: those that are members, and those that were heard of late.
 *
 * A router that starts knows no members, but hears those that know it.
 */
class peer_list
{
public:
    /** How long a router counts as running after it was heard. */
    static constexpr absl::Duration heardLifetime = absl::Seconds(3);
    /** The maximum number of hosts that are remembered as heard. */
    static constexpr std::size_t maxHeardHosts = 4096;

    /**
     * @param self the host of this router: the others are taken in turn from there on, so that not
     * all routers turn to the same one first
     */
    explicit peer_list(std::string self = {})
        : m_lastHeard(std::move(self))
    {
    }

    /** Replaces the hosts of the members. */
    void setMembers(std::vector<std::string> hosts) { m_members = std::move(hosts); }
    const std::vector<std::string> &members() const { return m_members; }
    /** Must be called for each valid message of another router. */
    void onHeard(const std::string &host, absl::Time now);
    /** True if another router is known. */
    bool hasPeers() const { return !m_members.empty() || !m_heardAt.empty(); }
    /** Returns the routers in turn, and while some were heard lately, only those. */
    std::optional<std::string> next(absl::Time now);

private:
    /** Removes hosts that were not heard for a while. */
    void forgetSilentHosts(absl::Time now);

    std::vector<std::string> m_members;
    absl::btree_map<std::string, absl::Time> m_heardAt;
    std::string m_lastHeard;
    std::size_t m_nextMember = 0;
};

} // namespace quetzal
