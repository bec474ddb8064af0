#pragma once

#include "routing/request/request_types.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <variant>

namespace quetzal {

/** What the node decided for a waiting request. */
using request_decision = std::variant<dispatch_request, finish_request>;

/** Hands the node's decisions on one request to the thread that serves its caller. */
class request_channel
{
public:
    /** Adds a decision; never blocks. */
    void put(request_decision decision);
    /** Waits for the next decision. */
    request_decision take();
    /** Asks the running attempt to end. */
    void cancel() { m_cancelled = true; }
    bool isCancelled() const { return m_cancelled; }

private:
    absl::Mutex m_mutex;
    std::deque<request_decision> m_decisions ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_cancelled {false};
};

} // namespace quetzal
