#pragma once

#include "targets/admission/target_admission.h"
#include "transport/link/message_network.h"

#include <optional>
#include <string>

namespace quetzal {

/** Reads the body of GET /load; nothing when it is not a load report. */
std::optional<target_load> readLoad(const std::string &body);

/** Fetches the load report of one target over HTTP. */
class load_client
{
public:
    explicit load_client(endpoint target);

    /** The report, or nothing when the target did not answer within a second. */
    std::optional<target_load> fetch() const;

private:
    endpoint m_target;
};

} // namespace quetzal
