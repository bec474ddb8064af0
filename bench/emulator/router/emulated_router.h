#pragma once

#include "emulator/router/caller_messages.h"
#include "emulator/router/fleet_network.h"
#include "emulator/store/emulated_mirror.h"
#include "forwarding/lifecycle/request_lifecycle.h"
#include "forwarding/node/forwarding_node.h"
#include "membership/table/member_table.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzal::bench {

/** The prefixes of the emulated key-value service. */
inline constexpr char configurationPrefix[] = "configuration/";
inline constexpr char configurationKey[] = "configuration/current";
inline constexpr char evacuationPrefix[] = "configuration/evacuated/";
inline constexpr char targetPrefix[] = "targets/";
inline constexpr char memberPrefix[] = "members/";

/** What the values of the emulated key-value service stand for. */
struct store_documents
{
    /** Configurations by the text of their value. */
    absl::flat_hash_map<std::string, std::shared_ptr<const route_table>> tables;
    /** Records of targets by the text of their value. */
    absl::flat_hash_map<std::string, target_record> records;
};

/** Options of emulated_router. */
struct emulated_router_options
{
    forwarding_options node;
    absl::Duration digestInterval = absl::Milliseconds(100);
};

/** One router process: the real decision objects, and a shell that carries out what they decide. */
class emulated_router
{
public:
    emulated_router(fleet_network &network, emulated_store &store, const store_documents &documents,
                    emulated_router_options options);

    void start();
    const std::string &vm() const { return m_options.node.routers.self; }
    const std::string &dataCentre() const { return m_options.node.dataCentre; }
    forwarding_node &node() { return m_node; }
    bool isReady() const;
    /** False while the process is frozen, and after its end. */
    bool isRunning() const { return m_isUp && !m_isFrozen; }
    /** When the process was last frozen. */
    absl::Time wokeAt() const { return m_wokeAt; }
    bool isStopping() const { return m_isStopping; }
    /** True once a stopping process rejects new requests. */
    bool isClosed() const { return m_isClosed; }
    /** Requests that are not over. */
    std::size_t openRequests() const { return m_runs.size(); }

    /** A caller's request arrived; returns its number for onCallerDisconnected(). */
    std::uint64_t receive(const caller_request &request, caller_sink sink);
    void onCallerDisconnected(std::uint64_t number);
    void onDigest(const load_digest &digest);
    /** A target closed its connections. */
    void onTargetClosed(const network_address &address);
    /** No new requests, the open ones end. */
    void beginStop();
    /** Runs an action when the process runs: now, or once it is no longer frozen. */
    void enter(std::function<void()> action);
    void freeze();
    void wake();
    /** The process ends at once: callers' connections break, targets see theirs closed. */
    void end();
    std::optional<listing_page> copyOf(std::size_t prefix, std::int64_t revision) const;
    /** Asked for the copies of other routers. */
    void setPeers(std::function<std::optional<listing_page>(std::size_t, std::int64_t)> peers)
    {
        m_peers = std::move(peers);
    }

private:
    struct request_record
    {
        std::unique_ptr<request_lifecycle> life;
        caller_request request;
        caller_sink sink;
        std::uint64_t exchange = 0;
        network_address address;
        bool isFresh = false;
        int answerStatus = 0;
    };

    emulated_mirror_callbacks callbacksFor(std::size_t prefix);
    void onConfiguration(const std::vector<key_change> &changes);
    void onTargets(const std::vector<key_change> &changes, bool first);
    void onMembers();
    void sendDigests();
    void perform(std::uint64_t number, const request_actions &actions);
    void send(std::uint64_t number, const send_request &action);
    void onReply(std::uint64_t number, std::uint64_t exchange, const exchange_reply &reply);
    void onLinkFailure(std::uint64_t number, link_failure failure);
    void fail(std::uint64_t number, std::uint64_t exchange, const exchange_failure &failure);
    void release(request_record &record, bool isCancelled);

    fleet_network &m_network;
    emulated_store &m_store;
    const store_documents &m_documents;
    emulated_router_options m_options;
    forwarding_node m_node;
    std::vector<std::unique_ptr<emulated_mirror>> m_mirrors;
    member_table m_members;
    std::function<std::optional<listing_page>(std::size_t, std::int64_t)> m_peers;
    absl::btree_map<std::uint64_t, request_record> m_runs;
    std::uint64_t m_lastNumber = 0;
    absl::btree_map<network_address, int> m_idle;
    absl::btree_map<network_address, int> m_open;
    std::vector<std::function<void()>> m_deferred;
    bool m_isUp = true;
    bool m_isFrozen = false;
    absl::Time m_wokeAt = absl::InfinitePast();
    bool m_isStopping = false;
    bool m_isClosed = false;
};

} // namespace quetzal::bench
