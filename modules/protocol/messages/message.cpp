#include "protocol/messages/message.h"

namespace quetzal {

std::string toText(const node_id &node)
{
    const std::string role = node.role == node_role::Router ? "router" : "scheduler";
    return role + "@" + node.vm;
}

} // namespace quetzal
