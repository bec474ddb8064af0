#pragma once

#include "emulator/router/caller_messages.h"
#include "emulator/router/emulated_processor.h"
#include "emulator/router/fleet_network.h"
#include "emulator/store/emulated_mirror.h"
#include "exchange/interval/digest_interval.h"
#include "forwarding/lifecycle/request_lifecycle.h"
#include "forwarding/node/forwarding_node.h"
#include "membership/table/member_table.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Keys and prefixes in the emulated key-value service. */
inline constexpr char configurationPrefix[] = "configuration/";
inline constexpr char configurationKey[] = "configuration/current";
inline constexpr char evacuationPrefix[] = "configuration/evacuated/";
inline constexpr char targetPrefix[] = "targets/";
inline constexpr char memberPrefix[] = "members/";

/** The documents that values in the emulated key-value service refer to. */
struct store_documents
{
    /** Configurations by stored value. */
    absl::flat_hash_map<std::string, std::shared_ptr<const route_table>> tables;
    /** Target records by stored value. */
    absl::flat_hash_map<std::string, target_record> records;
};

/** Options of emulated_router. */
struct emulated_router_options
{
    forwarding_options node;
    /** The interval between digests; nothing for the interval that the number of peers requires. */
    std::optional<absl::Duration> digestInterval;
    /** The processor time that events take; nothing for none. */
    std::optional<processor_parameters> processor;
};

/** Emulates a router process: performs the decisions of the production classes. */
class emulated_router
{
public:
    emulated_router(fleet_network &network, emulated_store &store, const store_documents &documents,
                    emulated_router_options options);

    void start();
    const std::string &vm() const { return m_options.node.routers.self; }
    const std::string &dataCentre() const { return m_options.node.dataCentre; }
    forwarding_node &node() { return m_node; }
    /** True if all mirrors are complete, routes are known and no shutdown has started. */
    bool isReady() const;
    /** False while the process is frozen and after it ended. */
    bool isRunning() const { return m_isUp && !m_isFrozen; }
    /** Returns when the process was last unfrozen; InfinitePast() if never. */
    absl::Time unfrozenAt() const { return m_unfrozenAt; }
    bool isStopping() const { return m_node.shutdown().has_value(); }
    /** True once a process that shuts down rejects new requests. */
    bool isRejectingRequests(absl::Time now) const
    {
        return m_node.shutdown() && !m_node.shutdown()->isAccepting(now);
    }
    /** Returns the number of requests in progress. */
    std::size_t openRequests() const { return m_requests.size(); }

    /** Returns the number of sends to targets since the start of the process. */
    std::int64_t sentRequests() const { return m_sentRequests; }
    /** Returns the number of connections that are open to a target. */
    int openConnections(const network_address &address) const;
    /** True if the connection of a request was not accepted, or the request not read yet. */
    bool isUnread(std::uint64_t number) const;

    /** Receives a caller's request; returns its number for onCallerDisconnected(). */
    std::uint64_t receive(const caller_request &request, caller_sink sink);
    /** Must be called when the caller of a request disconnected. */
    void onCallerDisconnected(std::uint64_t number);
    void onDigest(const peer_digest &digest);
    /** Receives another router's update of a replica. */
    void onUpdate(const mirror_update &update);
    /** Must be called when a target closed its connections. */
    void onTargetClosed(const network_address &address);
    /**
     * Starts a planned shutdown: the router is no longer ready, rejects new requests after a while,
     * and finishes those in progress within the grace period. Returns when the process must end.
     */
    absl::Time startShutdown(absl::Duration grace);
    /** Runs an action now, or when the process is unfrozen; drops it if the process ended. */
    void runWhenActive(std::function<void()> action);
    void freeze();
    void unfreeze();
    /** Ends the process at once; the connections of callers break, those of targets close. */
    void end();
    /** Returns the copy of a prefix if it is newer than the revision; else nullopt. */
    std::optional<mirror_copy> copyAfter(std::size_t prefix, std::int64_t revision) const;
    /** A function that requests a newer copy of a prefix of the router of a name, or of any. */
    using copy_source = std::function<copy_answer(const std::string &vm, std::size_t prefix,
                                                  std::int64_t revision)>;
    void setCopyFromPeer(copy_source copyFromPeer) { m_copyFromPeer = std::move(copyFromPeer); }

private:
    struct request_record
    {
        std::unique_ptr<request_lifecycle> lifecycle;
        caller_request request;
        caller_sink sink;
        std::uint64_t exchange = 0;
        network_address address;
        bool isNewConnection = false;
        bool isRead = false;
        int answerStatus = 0;
    };

    emulated_mirror_callbacks callbacksFor(std::size_t prefix);
    void onConfiguration(const std::vector<key_change> &changes);
    void onTargets(const std::vector<key_change> &changes, bool first);
    void onMembers();
    void sendDigests();
    peer_digest nextDigest(absl::Time now);
    std::size_t peerCount() const
    {
        return std::max<std::size_t>(m_node.routers().members.size(), 1) - 1;
    }
    /** Counts work of which the node limits the amount in a turn of the event loop. */
    void onTurnWork();
    /** Takes a waiting connection or turns it away; returns the processor time. */
    absl::Duration takeConnection(std::uint64_t number);
    /** Accepts waiting connections, as many as one turn of the event loop does. */
    void acceptConnections();
    /** Returns the number of turns of the event loop that reading a request's body takes. */
    std::int64_t bodyPartsOf(std::uint64_t number) const;
    /** Reads the next part of a request's body, in a turn for each, and then the request. */
    void readPart(std::uint64_t number, std::int64_t partsLeft);
    /** Reads a request and decides on it; returns the processor time that this took. */
    absl::Duration readRequest(std::uint64_t number);
    /** Runs an event after those before it if events take processor time, otherwise now. */
    void runEvent(absl::Duration processorTime, std::function<void()> event);
    /** Ends the requests that were read, because their answers are due. */
    void endRequests();
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
    digest_schedule m_digestSchedule;
    std::vector<std::unique_ptr<emulated_mirror>> m_mirrors;
    member_table m_members;
    copy_source m_copyFromPeer;
    /** True once a digest or an update of another router was received. */
    bool m_hasHeardPeer = false;
    std::unique_ptr<emulated_processor> m_processor;
    /** The requests on connections that are not accepted yet, in the order of arrival. */
    std::deque<std::uint64_t> m_acceptQueue;
    bool m_isAccepting = false;
    bool m_isTurnEndPending = false;
    absl::btree_map<std::uint64_t, request_record> m_requests;
    std::uint64_t m_lastRequestNumber = 0;
    std::int64_t m_sentRequests = 0;
    absl::btree_map<network_address, int> m_idleConnections;
    absl::btree_map<network_address, int> m_openConnections;
    std::vector<std::function<void()>> m_deferred;
    bool m_isUp = true;
    bool m_isFrozen = false;
    absl::Time m_unfrozenAt = absl::InfinitePast();
};

} // namespace quetzal::bench
