#pragma once

#include "apps/edge/edge_context.h"
#include "apps/edge/http_client.h"
#include "apps/edge/mirror_session.h"
#include "apps/edge/peer_exchange.h"
#include "apps/edge/status_connection.h"

#include <memory>
#include <string>
#include <vector>

namespace quetzal {

/** Options of store_feed. */
struct store_feed_options
{
    network_address store;
    /** The name of this VM. */
    std::string vm;
    /** The address at which other routers reach this one. */
    std::string host;
};

/**
 * Keeps the node's configuration, targets and routers up to date from the key-value service, or
 * from other routers' copies of it, and makes this router known there.
 */
class store_feed
{
public:
    store_feed(edge_context &context, peer_exchange &peers, store_feed_options options);

    void start();
    /** Writes this router's record unless it stands already; to be called from time to time. */
    void announce();
    /** True when configuration, targets and routers are known. */
    bool isComplete() const;
    /** The copy of a prefix for another router. */
    status_page copyPage(const std::string &path) const;

private:
    void onConfiguration(const std::vector<key_change> &changes);
    void onTargets(const std::vector<key_change> &changes, bool first);
    void onTargetsTouch(bool inTouch);
    void onMembers();

    edge_context &m_context;
    peer_exchange &m_peers;
    store_feed_options m_options;
    mirror_session m_configuration;
    mirror_session m_targets;
    mirror_session m_members;
    std::shared_ptr<http_client> m_announcer;
    bool m_isAnnouncing = false;
    bool m_isAnnounced = false;
};

} // namespace quetzal
