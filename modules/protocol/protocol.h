#pragma once

/**
 * Module protocol: the typed messages between routers and schedulers, and their codec.
 *
 * The message types are generated from idl/protocol.thrift and encoded with the Thrift compact
 * protocol. Depends on foundation and libthrift. Opens no connection.
 */

#include "protocol/messages/message.h"
#include "protocol/messages/message_codec.h"
#include "protocol/messages/outgoing_message.h"
