#pragma once

#include "routing/request/request_types.h"

#include <string>

namespace quetzal {

/** The JSON body of a refusal; detail is added to the code's meaning when it is not empty. */
std::string refusalBody(const finish_request &finish, const std::string &callerRequestId,
                        const std::string &detail);

} // namespace quetzal
