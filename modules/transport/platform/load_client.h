#pragma once

#include "targets/admission/target_admission.h"
#include "transport/link/message_network.h"

#include <optional>
#include <string>

namespace quetzal {

/** Parses the body of an answer to GET /load; returns nothing if it is not a load report. */
std::optional<target_load> readLoad(const std::string &body);

/** Fetches the load report of one target over HTTP. */
class load_client
{
public:
    explicit load_client(endpoint target);

    /** Returns the report, or nothing if the target did not answer within one second. */
    std::optional<target_load> fetch() const;

private:
    endpoint m_target;
};

} // namespace quetzal
