#pragma once

#include <quetzal_protocol/protocol_types.h>
#include <string>
#include <variant>

namespace quetzal {

/** The kinds of process that exchange messages. */
enum class node_role : std::uint8_t
{
    Router,
    Scheduler,
};

/** Identifies a process of the fleet by its role and the VM on which it runs. */
struct node_id
{
    node_role role = node_role::Router;
    std::string vm;

    auto operator<=>(const node_id &) const = default;
};

/** Returns the id as text, such as "router@vm-1". */
std::string toText(const node_id &node);

/** A message between two processes. The index of an alternative is its number on the wire. */
using message = std::variant<protocol::router_report, protocol::grant_batch, protocol::fleet_view,
                             protocol::configuration_request, protocol::configuration_update,
                             protocol::heartbeat, protocol::ledger_delta, protocol::ledger_totals,
                             protocol::renewal_request, protocol::renewal_reply>;

} // namespace quetzal
