#pragma once

#include "bench/load/answer_checker.h"
#include "bench/load/load_plan.h"
#include "bench/load/load_settings.h"

#include <functional>
#include <string>

namespace quetzal {

/**
 * Sends requests of one workspace over HTTP and checks the answers. Each call blocks until the
 * request has ended.
 */
class request_sender
{
public:
    /** Called on the sending thread with the number of newly received tokens. */
    using token_callback = std::function<void(int tokens)>;

    /** Keeps references to the settings and the workspace, which must outlive the sender. */
    request_sender(const load_settings &settings, const load_workspace &workspace);

    /**
     * Sends one request on a new connection. If a router does not accept the connection, the next
     * one is tried, as the platform's load balancer would do, until each has been tried once.
     */
    load_result send(const planned_request &request, const token_callback &onTokens) const;

private:
    load_result sendTo(const load_address &router, const planned_request &request,
                       const token_callback &onTokens, bool &connected) const;

    const load_settings &m_settings;
    const load_workspace &m_workspace;
};

} // namespace quetzal
