#pragma once

#include "emulator/store/emulated_mirror.h"
#include "emulator/store/emulated_store.h"
#include "simulation/event_queue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzal::bench {

/** The datagrams of a fleet, and how they fail. */
struct datagram_faults
{
    double lostFraction = 0.0;
    double doubledFraction = 0.0;
    /** Datagrams take up to this time, so that they may overtake each other. */
    absl::Duration maxDelay = absl::Milliseconds(1);
};

/** Options of replica_fleet. */
struct replica_fleet_options
{
    int vms = 6;
    datagram_faults datagrams;
    /** How long a router of a large fleet sends digests; its start needs them, little else does. */
    absl::Duration digestTime = absl::Seconds(1);
    std::uint64_t seed = 1;
    /** The largest update that fits a datagram. */
    std::size_t maxUpdateBytes = 1400;
    /** The link over which each VM gives its copies, one after the other. */
    double linkMbps = 1000.0;
};

/** Routers that replicate the prefixes of a store, and nothing else, in simulated time. */
class replica_fleet
{
public:
    static constexpr char configurationKey[] = "op/config";
    static constexpr char targetPrefix[] = "servers/";

    explicit replica_fleet(const replica_fleet_options &options);
    ~replica_fleet();

    event_queue &events() { return m_events; }
    emulated_store &store() { return m_store; }
    int size() const { return static_cast<int>(m_routers.size()); }
    void run(absl::Duration duration) { m_events.runUntil(m_events.now() + duration); }

    void start(int vm);
    void kill(int vm);
    /** Pauses a process: it handles nothing until resume(), and then what has arrived meanwhile. */
    void pause(int vm);
    void resume(int vm);
    /** Loses all datagrams and copies to and from a VM; its calls to the store still work. */
    void isolate(int vm, bool isIsolated);
    /** Makes all VMs leave requests for their copies unanswered. */
    void withholdCopies(bool areWithheld) { m_areCopiesWithheld = areWithheld; }
    /** Loses what a VM sends, but not what it receives. */
    void muteVm(int vm, bool isMuted);

    bool isRunning(int vm) const;
    /** True if all prefixes are replicated. */
    bool isReady(int vm) const;
    /** Returns the value of a key at a VM; nothing if it is absent there. */
    std::optional<std::string> valueAt(int vm, const std::string &key) const;
    /** True if all running VMs have exactly the contents of the store. */
    bool isConverged() const;
    /** Returns the descriptions of what must never happen and did. */
    const std::vector<std::string> &violations() const { return m_violations; }
    /** Returns the rank of a VM in the order of readers of a prefix. */
    std::size_t rankOf(int vm, std::size_t prefix) const;

private:
    struct router;

    /** Writes the record of a router, as it does when the service has lost it. */
    void registerRouter(const router &owner);
    void buildMirrors(router &owner);
    void send(int from, const mirror_update &update);
    /** Sends a digest, by which others hear a router, and again at each interval. */
    void sendDigests(router &owner);
    /** Delivers a datagram to the members that a router knows. */
    void sendToMembers(const router &sender, const std::function<void(router &)> &receive);
    /** Sends a copy over the link of a VM after those that it is sending. */
    void transfer(router &giver, copy_answer &answer);
    copy_answer copyFor(router &owner, const std::string &host, std::size_t prefix,
                        std::int64_t revision);
    void onChanges(router &owner, std::size_t prefix, const std::vector<key_change> &changes);
    void updateMembers(router &owner);
    bool chance(double fraction);

    bool m_areCopiesWithheld = false;
    event_queue m_events;
    emulated_store m_store;
    replica_fleet_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<router>> m_routers;
    /** Ended processes; scheduled events still refer to them. */
    std::vector<std::unique_ptr<router>> m_ended;
    std::vector<std::string> m_violations;
};

} // namespace quetzal::bench
