#pragma once

#include "configuration/revision/configuration_snapshot.h"
#include "foundation/errors/result_code.h"
#include "routing/request/request_types.h"

#include <absl/time/time.h>

#include <functional>
#include <string>
#include <variant>

namespace quetzal {

/** The parts of an HTTP request that decide where it goes. */
struct http_request_parts
{
    std::string method;
    std::string path;
    std::string body;
    /** The value of a header, empty when it is absent. */
    std::function<std::string(const std::string &name)> header;
};

/** A request that may be submitted. */
struct caller_request
{
    request_description description;
    /** The caller's own id, or one made by the router. */
    std::string callerRequestId;
    /** Path at the target. */
    std::string targetPath;
    bool isModel = false;
    bool isStream = false;
};

/** Why a request is refused at once. */
struct caller_fault
{
    result_code code = result_code::MalformedRequest;
    std::string detail;

    bool operator==(const caller_fault &) const = default;
};

/**
 * Checks a caller's request against the configuration.
 *
 * generatedId is used when the caller gives no id; defaultDeadline when it gives no deadline.
 */
std::variant<caller_request, caller_fault>
readCallerRequest(const http_request_parts &parts, const configuration_snapshot &configuration,
                  const std::string &generatedId, absl::Duration defaultDeadline, absl::Time now);

} // namespace quetzal
