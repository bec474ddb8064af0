#pragma once

#include "foundation/json/json_reader.h"
#include "transport/link/message_network.h"

#include <string>

namespace quetzal {

/** Reads a required member of the form "IP:port"; records a fault if it is malformed. */
endpoint requiredEndpoint(json_reader &reader, const std::string &name);

/** Reads the member logLevel: debug, info, warn or error; info if it is absent. */
std::string optionalLogLevel(json_reader &reader);

} // namespace quetzal
