#pragma once

#include "ownership/store/store_types.h"

#include <optional>
#include <string>

namespace quetzal {

/** A call of etcd's v3 JSON gateway. */
struct gateway_call
{
    std::string path;
    std::string body;

    bool operator==(const gateway_call &) const = default;
};

/** The call that performs a request. */
gateway_call encodeStoreRequest(const store_request &request);
/** The call that reads all keys below a prefix. */
gateway_call encodeRangeCall(const std::string &keyPrefix);
/** The call that watches all keys below a prefix from a store revision on. */
gateway_call encodeWatchCall(const std::string &keyPrefix, std::int64_t startRevision);

/** The outcome that an HTTP status and body tell; Unknown unless they say it clearly. */
store_reply decodeStoreReply(const store_request &request, int status, const std::string &body);
/** The keys that a range answer lists, or nothing when it is none. */
std::optional<store_view> decodeRange(const std::string &body);

/** What a line of a watch stream said. */
enum class watch_line_result
{
    /** The stream is open; nothing changed. */
    Unchanged,
    /** The view was changed. */
    Changed,
    /** The line is not understood or the store ended the watch: read anew. */
    Ended,
};

/** Applies one line of a watch stream to the view. */
watch_line_result applyWatchLine(const std::string &line, store_view &view);

} // namespace quetzal
