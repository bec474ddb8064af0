#pragma once

#include "routing/request/request_types.h"

#include <string>

namespace quetzal {

/**
 * Returns the JSON body of the error answer to a request.
 *
 * A detail that is not empty is appended to the message of the result code, in parentheses.
 */
std::string refusalBody(const finish_request &finish, const std::string &callerRequestId,
                        const std::string &detail);

} // namespace quetzal
