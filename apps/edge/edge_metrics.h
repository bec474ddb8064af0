#pragma once

#include "forwarding/route/route_table.h"
#include "telemetry/metrics/metric_registry.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

/** Counters, gauges and latency histograms of one edge process. */
class edge_metrics
{
public:
    edge_metrics();

    /** Counts an accepted connection. */
    void onConnection() { m_connections.add(); }
    /** Counts a failure to accept a connection. */
    void onAcceptFailed() { m_acceptFailures.add(); }
    /** Counts a caller that disconnected before its request was started. */
    void onCallerGone() { m_callersGone.add(); }
    /** Records how late the event loop ran a timer. */
    void onLoopDelay(absl::Duration delay) { m_loopDelay.record(delay); }
    /** Counts a completely received request. */
    void onRequest() { m_requests.add(); }
    /** Counts an attempt. */
    void onSend() { m_sends.add(); }
    /** Counts an attempt that yielded no answer for the caller. @param name kind of failure */
    void onAttemptFailed(const std::string &name);
    /** Records the time from the arrival of a request to the first byte of its answer. */
    void onFirstByte(request_kind kind, absl::Duration time);
    /** Counts a finished request. @param code result_code; 0 if the target's answer was relayed */
    void onEnd(const std::string &outcome, int code, absl::Duration time);
    /** Sets a gauge; called for each gauge before the metrics are rendered. */
    void set(const std::string &name, const std::string &help, std::int64_t value);

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const { return m_registry.text(); }

private:
    metric_registry m_registry;
    counter &m_connections;
    counter &m_acceptFailures;
    counter &m_callersGone;
    latency_histogram &m_loopDelay;
    counter &m_requests;
    counter &m_sends;
};

} // namespace quetzal
