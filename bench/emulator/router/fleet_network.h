#pragma once

#include "directory/target/target_record.h"
#include "emulator/target/target_messages.h"
#include "exchange/digest/load_digest.h"
#include "replication/update/mirror_update.h"
#include "simulation/event_queue.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quetzal::bench {

/** Reason why a send has no answer. */
enum class link_failure
{
    /** The connection was refused; nothing listens at the address. */
    Refused,
    /** The connection was reset after the request was sent. */
    Reset,
    /** The other side is unresponsive; only a timeout ends the exchange. */
    Unresponsive,
};

using exchange_reply = std::variant<target_reply, link_failure>;

/** Carries messages between the routers, the targets and other routers. */
class fleet_network
{
public:
    virtual ~fleet_network() = default;

    virtual event_queue &events() = 0;
    /** Sends a request to the target at an address; onReply is called until the exchange ends. */
    virtual void sendToTarget(const std::string &vm, const network_address &address,
                              std::uint64_t exchange, const target_request &request,
                              std::function<void(const exchange_reply &)> onReply)
        = 0;
    /** Closes the connection of an exchange. */
    virtual void cancel(const std::string &vm, const network_address &address,
                        std::uint64_t exchange)
        = 0;
    /** Sends a digest to all other routers. */
    virtual void sendDigest(const std::string &vm, const peer_digest &digest) = 0;
    /** Sends an update of a replica to all other routers. */
    virtual void sendUpdate(const std::string &vm, const mirror_update &update) = 0;
    /** Returns a unique number for an exchange. */
    virtual std::uint64_t nextExchange() = 0;
};

} // namespace quetzal::bench
