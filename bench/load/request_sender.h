#pragma once

#include "bench/load/answer_checker.h"
#include "bench/load/load_plan.h"
#include "bench/load/load_settings.h"

#include <functional>
#include <string>

namespace quetzal {

/** Sends planned requests of a workspace over HTTP and checks the answers; blocks until the end. */
class request_sender
{
public:
    /** Called on the sending thread with the number of tokens that have just arrived. */
    using token_callback = std::function<void(int tokens)>;

    /** The settings must outlive this. */
    request_sender(const load_settings &settings, const load_workspace &workspace);

    /**
     * Sends one request on a fresh connection. A router that does not accept the connection is
     * passed over, as the platform's balancer would, until each was tried once.
     */
    load_result send(const planned_request &request, const token_callback &onTokens) const;

private:
    load_result sendTo(const load_address &router, const planned_request &request,
                       const token_callback &onTokens, bool &connected) const;

    const load_settings &m_settings;
    const load_workspace &m_workspace;
};

} // namespace quetzal
