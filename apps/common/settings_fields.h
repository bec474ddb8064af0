#pragma once

#include "foundation/json/json_reader.h"
#include "transport/link/message_network.h"

#include <string>

namespace quetzal {

/** A member that must be "IP:port". */
endpoint requiredEndpoint(json_reader &reader, const std::string &name);

/** The member logLevel: debug, info, warn or error; info when it is absent. */
std::string optionalLogLevel(json_reader &reader);

} // namespace quetzal
