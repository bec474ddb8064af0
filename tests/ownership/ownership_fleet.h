#pragma once

#include "fake_store.h"
#include "foundation/foundation.h"
#include "ownership/ownership.h"

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/**
 * Runs several shard_ownership objects on a fake store and a simulated network and clock.
 *
 * Checks after each step that epochs never decrease, that at most one scheduler is Certain of a
 * shard, and that the grants which may still be used on a cold target never exceed its limit in
 * total.
 */
class ownership_fleet
{
public:
    ownership_fleet(int nodes, int shards, std::uint64_t seed);

    /** Advances simulated time; stops early at a violation. */
    void run(absl::Duration duration);
    /** Returns the first violation found, or an empty text. */
    const std::string &violation() const { return m_violation; }

    void pause(int node);
    void resume(int node);
    void cutStore(int node, bool cut);
    /** Partitions the nodes into two sides that cannot reach each other; bit n is node n's side. */
    void partition(unsigned sides) { m_sides = sides; }
    void stopStore(bool down) { m_storeDown = down; }
    void slowStore(absl::Duration delay) { m_storeDelay = delay; }
    /** Loses the replies to the node's next requests, which the store performs. */
    void loseAnswers(int node, int count);
    void delayViews(int node, absl::Duration delay);
    /** Delivers the initial store view to the node again. */
    void deliverOldView(int node);
    void kill(int node);
    /** Ends the node's process, if it is running, and starts a new one on the same VM. */
    void restart(int node);
    void stop(int node);
    void hideShard(int shard, bool hidden);
    /** Ends all faults and restarts the VMs that are not running. */
    void heal();

    shard_ownership &at(int node) { return *m_nodes[node].ownership; }
    int size() const { return static_cast<int>(m_nodes.size()); }
    /** Returns the time of the node's own clock; the nodes' clocks run at different rates. */
    absl::Time clockOf(int node) const;
    fake_store &store() { return m_store; }
    std::string shardName(int shard) const { return "shard-" + std::to_string(shard); }
    /** Returns the running nodes that may grant on the shard now. */
    std::vector<int> granters(int shard) const;
    /** Returns the certainty of a node's ownership; asserts that the node may grant. */
    ownership_certainty certaintyOf(int node, int shard) const;
    std::int64_t epochOf(int node, int shard) const;
    bool isStopped(int node) const;
    /** True if each shard has exactly one owner, which is Certain. */
    bool isSettled() const;
    static shard_ownership_options options(int node, std::int64_t incarnation);

private:
    static constexpr int certaintyCount = 4;
    struct node_state
    {
        std::unique_ptr<shard_ownership> ownership;
        std::int64_t incarnation = 0;
        bool paused = false;
        bool storeCut = false;
        int answersToLose = 0;
        absl::Duration viewDelay;
        std::int64_t sentRevision = 0;
        absl::Time heartbeatAt = absl::InfinitePast();
        absl::Time renewalRequestedAt = absl::InfinitePast();
        absl::Time listedAt = absl::InfinitePast();
        absl::Time unlistedAt = absl::InfiniteFuture();
        std::vector<std::function<void()>> backlog;
    };
    /** The last time at which a process granted on one shard, for each certainty. */
    using grant_times = std::array<absl::Time, certaintyCount>;

    void step();
    void stepNode(int node);
    using handler = std::function<void(shard_ownership &, absl::Time)>;
    void send(int node, absl::Duration delay, handler handle);
    bool isListed(int node) const;
    void sendHeartbeats(int node);
    void sendRelays(int node);
    void sendRequest(int node, const store_request &request);
    void sendView(int node);
    bool reaches(int from, int to) const;
    bool reachesStore(int node) const;
    bool isRunning(int node) const;
    void start(int node);
    void checkEpochs();
    void checkShard(int shard);
    void recordGrants(int node);
    void recordViolation(const std::string &text);
    std::vector<shard_definition> definitions() const;

    random_source m_random;
    fake_store m_store;
    store_view m_firstView;
    std::vector<node_state> m_nodes;
    int m_shards;
    std::set<int> m_hidden;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
    unsigned m_sides = 0;
    bool m_storeDown = false;
    absl::Duration m_storeDelay = absl::Milliseconds(2);
    std::multimap<absl::Time, std::function<void()>> m_events;
    std::map<std::string, std::int64_t> m_epochs;
    std::map<std::string, std::map<std::pair<int, std::int64_t>, grant_times>> m_grants;
    std::string m_violation;
};

} // namespace quetzal
