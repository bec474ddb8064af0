#pragma once

/**
 * Module http: HTTP/1.1 messages without sockets.
 *
 * Incremental readers for requests and responses on top of Boost.Beast's parser, which reject every
 * message that two parsers could interpret differently; serialization of message heads, responses
 * and chunks; splitting of event streams. Depends on Boost only.
 */

#include "http/message/header_fields.h"
#include "http/message/message_head.h"
#include "http/message/request_reader.h"
#include "http/message/response_reader.h"
#include "http/message/response_writer.h"
#include "http/stream/event_boundary.h"
#include "http/stream/event_scanner.h"
