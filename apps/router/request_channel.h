#pragma once

#include "routing/request/request_types.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <variant>

namespace quetzal {

/** A decision of the router node on a request: send it to a target, or finish it. */
using request_decision = std::variant<dispatch_request, finish_request>;

/**
 * Queue of the router node's decisions on one request, read by the thread that serves its caller.
 *
 * Thread-safe.
 */
class request_channel
{
public:
    /** Appends a decision; does not wait for the reader. */
    void put(request_decision decision);
    /** Waits for the next decision, removes it and returns it. */
    request_decision take();
    /** Requests the end of the running attempt, which polls isCancelled(). */
    void cancel() { m_cancelled = true; }
    bool isCancelled() const { return m_cancelled; }

private:
    absl::Mutex m_mutex;
    std::deque<request_decision> m_decisions ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_cancelled {false};
};

} // namespace quetzal
