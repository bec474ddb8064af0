#pragma once

#include "emulator/fleet/fleet_plan.h"
#include "emulator/observation/fleet_observer.h"
#include "emulator/router/emulated_router.h"
#include "emulator/router/fleet_network.h"
#include "emulator/store/emulated_store.h"
#include "emulator/target/emulated_target.h"
#include "simulation/event_queue.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzal::bench {

/** How a target crashes. */
enum class crash_kind
{
    /** Connections are reset, and new ones are refused. */
    Reset,
    /** The target becomes unresponsive; connections are not closed. */
    Unresponsive,
};

/** Emulates the routers, targets and key-value service of a fleet, and injects faults. */
class emulated_fleet : public fleet_network
{
public:
    /** Time after a crash at which the record of the target is removed from the store. */
    static constexpr absl::Duration recordLifetime = absl::Milliseconds(3600);

    emulated_fleet(event_queue &events, fleet_observer &observer, fleet_plan plan);
    ~emulated_fleet() override;

    const fleet_plan &plan() const { return m_plan; }
    emulated_store &store() { return m_store; }

    std::size_t vmCount() const { return m_vms.size(); }
    /** Returns the router of a VM; null while its process does not run. */
    emulated_router *router(std::size_t vm);
    const std::string &dataCentreOf(std::size_t vm) const { return m_vms[vm].dataCentre; }
    /** True if callers and the load balancer can reach the VM. */
    bool isReachable(std::size_t vm) const;

    std::size_t targetCount() const { return m_targets.size(); }
    emulated_target &target(std::size_t index) { return *m_targets[index]; }

    /** Changes the configuration as an operator does; returns the new version. */
    std::int64_t writeConfiguration(const std::function<void(route_table_options &)> &change);
    std::int64_t version() const { return m_configuration.version; }
    /** Marks a data centre as evacuated in the store; endEvacuation() removes the mark. */
    void evacuate(const std::string &dataCentre);
    void endEvacuation(const std::string &dataCentre);

    /** Ends the router process at once. */
    void killVm(std::size_t vm);
    /** Starts a new router process, unless one is running. */
    void startVm(std::size_t vm);
    /** Starts a planned shutdown; the process ends once it is idle, or after a timeout. */
    void stopVm(std::size_t vm);
    /** Freezes the router process: it neither runs nor closes its connections. */
    void freezeVm(std::size_t vm);
    void unfreezeVm(std::size_t vm);
    /** Partitions the VM from the targets, the other routers and the key-value service. */
    void partitionVm(std::size_t vm);
    void reconnectVm(std::size_t vm);

    /** Returns when targets crashed under a fatal part. */
    const std::vector<absl::Time> &fatalCrashes() const { return m_fatalCrashes; }
    /** Returns when requests with a fatal part were sent that reached running targets. */
    const std::vector<absl::Time> &fatalSends() const { return m_fatalSends; }
    /** Sets the prompt parts under which model engines crash from now on. */
    void setFatalParts(const std::vector<std::uint64_t> &parts);
    void crashTarget(std::size_t index, crash_kind kind);
    /** Starts a new, cold incarnation of a target that is down. */
    void restartTarget(std::size_t index);
    /** Marks the target as draining; it stops after the grace period. */
    void drainTarget(std::size_t index, absl::Duration grace);
    /** Makes the target cold and writes its record. */
    void makeTargetCold(std::size_t index);

    event_queue &events() override { return m_events; }
    void sendToTarget(const std::string &vm, const network_address &address, std::uint64_t exchange,
                      const target_request &request,
                      std::function<void(const exchange_reply &)> onReply) override;
    void cancel(const std::string &vm, const network_address &address,
                std::uint64_t exchange) override;
    void sendDigest(const std::string &vm, const peer_digest &digest) override;
    void sendUpdate(const std::string &vm, const mirror_update &update) override;
    std::uint64_t nextExchange() override { return ++m_lastExchange; }

private:
    struct emulated_vm
    {
        std::string name;
        std::string dataCentre;
        std::unique_ptr<emulated_router> router;
        std::uint64_t incarnation = 0;
        bool isPartitioned = false;
        bool isFrozen = false;
    };

    /** The return path of one exchange. */
    struct exchange_link
    {
        const emulated_vm *vm = nullptr;
        std::uint64_t incarnation = 0;
        std::function<void(const exchange_reply &)> onReply;
        /** True if bytes were lost, after which nothing more can be delivered. */
        bool hasLostBytes = false;
    };

    void killWhenIdle(std::size_t vm, std::uint64_t incarnation, absl::Time deadline);
    void deliver(const std::shared_ptr<exchange_link> &link, const exchange_reply &reply);
    void buildTargets();
    void buildConfiguration();
    /** Crashes a target under a fatal part, and restarts it later. */
    void crashFatally(std::size_t index);
    /** Writes the target's record; retries until the key-value service is serving. */
    void writeRecord(emulated_target &target);
    void removeRecord(const std::string &id);
    emulated_target *findTarget(const network_address &address);
    emulated_vm &findVm(const std::string &name);
    /** Returns the one-way network delay between two data centres. */
    absl::Duration delay(const std::string &from, const std::string &to) const;
    /** Requests a newer copy of the router of a name, or of any if the name is empty. */
    copy_answer copyFromPeer(const std::string &vm, const std::string &peer, std::size_t prefix,
                             std::int64_t revision);
    /** Delivers a datagram to all other routers that it reaches. */
    void sendToOthers(const std::string &vm, const std::function<void(emulated_router &)> &receive);
    void notifyTargetClosed(const network_address &address);

    event_queue &m_events;
    fleet_observer &m_observer;
    fleet_plan m_plan;
    emulated_store m_store;
    store_documents m_documents;
    route_table_options m_configuration;
    std::vector<std::unique_ptr<emulated_target>> m_targets;
    std::vector<emulated_vm> m_vms;
    /** Ended processes; events that they scheduled may still refer to them. */
    std::vector<std::unique_ptr<emulated_router>> m_endedRouters;
    absl::flat_hash_set<std::uint64_t> m_fatalParts;
    std::vector<absl::Time> m_fatalCrashes;
    std::vector<absl::Time> m_fatalSends;
    std::mt19937_64 m_random;
    std::uint64_t m_lastExchange = 0;
    std::int64_t m_documentNumber = 0;
};

} // namespace quetzal::bench
