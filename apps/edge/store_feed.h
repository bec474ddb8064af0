#pragma once

#include "apps/edge/edge_context.h"
#include "apps/edge/http_client.h"
#include "apps/edge/mirror_session.h"
#include "apps/edge/part_records.h"
#include "apps/edge/peer_exchange.h"
#include "apps/edge/status_connection.h"
#include "directory/evacuation/evacuation_list.h"
#include "membership/table/member_table.h"
#include "platform/store_dialect.h"
#include "replication/copy/transfer_limiter.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** Options of store_feed. */
struct store_feed_options
{
    network_address store;
    /** Name of this VM. */
    std::string vm;
    /** Host at which other routers reach this one. */
    std::string host;
    /** How often a target renews its record. */
    absl::Duration targetHeartbeat = absl::Seconds(1);
    /** The rate of the VM's link in megabits a second; 0 if it is not known. */
    double linkMbps = 0.0;
};

/**
 * Keeps configuration, targets and routers of the forwarding_node up to date from the key-value
 * service, or from other routers' copies of it, registers this router in the service, and keeps the
 * records there by which the routers remember prompt parts.
 */
class store_feed
{
public:
    store_feed(edge_context &context, peer_exchange &peers, store_feed_options options);

    void start();
    /** Keeps the replicas current and renews this router's record; must be called periodically. */
    void maintain(absl::Time now);
    /** True once configuration, targets and routers are known. */
    bool isComplete() const;
    /** Writes the revision and the age of each replica to the metrics. */
    void writeMetrics(edge_metrics &metrics, absl::Time now) const;
    /** Returns the copy of a prefix for another router; the path names prefix and revision. */
    status_page mirrorPage(const std::string &path);

private:
    void onConfiguration(const std::vector<key_change> &changes);
    void onTargets(const std::vector<key_change> &changes, bool first);
    /** Hands the evacuations in force to the node if they have changed. */
    void updateEvacuations(absl::Time now);
    /** Logs what became of a target's record. */
    void logTarget(const key_change &change, const std::optional<target_record> &record);
    void onTargetsCurrentChanged(bool isCurrent);
    void onUpdate(const mirror_update &update, const std::string &host);
    /** Makes the next write of this router to the store, if one is due. */
    void maintainRecords(absl::Time now);
    void onOwnRecords(const std::vector<key_change> &changes);
    void onMembers();
    void onOwnRecordsCurrentChanged(bool isCurrent);
    void updateRouters(absl::Time now);
    /** Returns the options of the session of a prefix at this position in digests and updates. */
    follower_options followerOptions(std::string prefix, std::size_t position) const;
    /** Returns the callbacks that all sessions have in common. */
    mirror_callbacks commonCallbacks();
    mirror_callbacks configurationCallbacks();
    mirror_callbacks targetCallbacks();
    mirror_callbacks ownRecordCallbacks();
    /** Starts a write, one at a time; onDone is called once the store has accepted it. */
    void write(const platform::store_call &call, std::function<void()> onDone);

    std::array<mirror_session *, 3> sessions()
    {
        return {&m_configuration, &m_targets, &m_ownRecords};
    }
    std::array<const mirror_session *, 3> sessions() const
    {
        return {&m_configuration, &m_targets, &m_ownRecords};
    }

    edge_context &m_context;
    peer_exchange &m_peers;
    store_feed_options m_options;
    mirror_session m_configuration;
    mirror_session m_targets;
    /** The records that the routers write: of themselves, and of prompt parts. */
    mirror_session m_ownRecords;
    evacuation_list m_evacuations;
    /** The data centres that the node last heard are evacuated. */
    absl::flat_hash_set<std::string> m_evacuated;
    /** The era of the store in which the targets were last listed. */
    std::int64_t m_targetEra = 0;
    part_records m_partRecords;
    transfer_limiter m_copyLimiter;
    std::shared_ptr<http_client> m_writer;
    bool m_isWriting = false;
    member_table m_memberTable;
    bool m_areRoutersKnown = false;
    /** Hosts of the other routers that are currently in use. */
    std::vector<std::string> m_peerHosts;
    absl::Time m_recordRenewedAt = absl::InfinitePast();
    /** When the store may be written to again after a failure. */
    absl::Time m_writeAllowedAt = absl::InfinitePast();
};

} // namespace quetzal
