#pragma once

#include "ownership/store/store_types.h"

#include <optional>
#include <string>

namespace quetzal {

/** Path and body of a call to etcd's v3 JSON gateway. */
struct gateway_call
{
    std::string path;
    std::string body;

    bool operator==(const gateway_call &) const = default;
};

/** Returns the call that performs a request. */
gateway_call encodeStoreRequest(const store_request &request);
/** Returns the call that reads all keys with a prefix. */
gateway_call encodeRangeCall(const std::string &keyPrefix);
/** Returns the call that watches all keys with a prefix from a store revision on. */
gateway_call encodeWatchCall(const std::string &keyPrefix, std::int64_t startRevision);

/** Returns the outcome that an HTTP status and body report; Unknown if they are not conclusive. */
store_reply decodeStoreReply(const store_request &request, int status, const std::string &body);
/** Returns the keys of a range answer, or nothing if the body is not a range answer. */
std::optional<store_view> decodeRange(const std::string &body);

/** Effect of one line of a watch stream. */
enum class watch_line_result
{
    /** The stream is open; the view did not change. */
    Unchanged,
    /** The view changed. */
    Changed,
    /** The line is malformed or the store ended the watch; the keys must be read again. */
    Ended,
};

/** Applies one line of a watch stream to the view and returns its effect. */
watch_line_result applyWatchLine(const std::string &line, store_view &view);

} // namespace quetzal
