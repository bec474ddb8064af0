#pragma once

#include "protocol/messages/message.h"

namespace quetzal {

/** A message that a decision object requests to be sent to a process. */
struct outgoing_message
{
    node_id to;
    message content;

    bool operator==(const outgoing_message &) const = default;
};

} // namespace quetzal
