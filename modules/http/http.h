#pragma once

/**
 * Module http: HTTP/1.1 messages without sockets.
 *
 * Incremental readers of requests and responses on Boost.Beast's parser, strict about everything
 * that two parsers could understand differently, and the writing of message heads. Depends on Boost
 * only.
 */

#include "http/message/header_fields.h"
#include "http/message/message_head.h"
#include "http/message/request_reader.h"
#include "http/message/response_reader.h"
#include "http/stream/event_scanner.h"
