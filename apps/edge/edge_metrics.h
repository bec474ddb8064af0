#pragma once

#include "forwarding/route/route_table.h"
#include "telemetry/metrics/metric_registry.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace quetzal {

/** What one edge process did in a span of time. */
struct edge_activity
{
    std::int64_t connections = 0;
    std::int64_t rejectedConnections = 0;
    std::int64_t requests = 0;
    std::int64_t bodyBytes = 0;
    std::int64_t sends = 0;
    std::int64_t turnedAway = 0;
    std::int64_t callersGone = 0;
    /** The least and the greatest delay of the event loop. */
    absl::Duration minDelay = absl::InfiniteDuration();
    absl::Duration maxDelay = absl::ZeroDuration();
};

/** The state of one replica of the store. */
struct replica_status
{
    std::string prefix;
    /** The revision up to which changes are known. */
    std::int64_t revision = 0;
    /** The revision of a change that other routers have and this one has not; 0 for none. */
    std::int64_t missedRevision = 0;
    /** The time since the replica was known to be current. */
    absl::Duration age;
};

/** Counters, gauges and latency histograms of one edge process. */
class edge_metrics
{
public:
    edge_metrics();

    /** Counts an accepted connection. */
    void onConnection()
    {
        m_connections.add();
        ++m_activity.connections;
    }
    /** Counts a failure to accept a connection. */
    void onAcceptFailed() { m_acceptFailures.add(); }
    /** Counts a connection that was turned away unread. */
    void onConnectionRejected()
    {
        m_rejectedConnections.add();
        ++m_activity.rejectedConnections;
    }
    /** Counts a caller that disconnected before its request was started. */
    void onCallerGone()
    {
        m_callersGone.add();
        ++m_activity.callersGone;
    }
    /** Records how late the event loop ran a timer. */
    void onLoopDelay(absl::Duration delay);
    /** Counts a completely received request. */
    void onRequest(std::size_t bodyBytes);
    /** Counts an attempt. */
    void onSend()
    {
        m_sends.add();
        ++m_activity.sends;
    }
    /** Counts an attempt that yielded no answer for the caller. @param name kind of failure */
    void onAttemptFailed(const std::string &name);
    /** Records the time from the arrival of a request to the first byte of its answer. */
    void onFirstByte(request_kind kind, absl::Duration time);
    /** Counts a finished request. @param code result_code; 0 if the target's answer was relayed */
    void onEnd(const std::string &outcome, int code, absl::Duration time);
    /** Sets a gauge; called for each gauge before the metrics are rendered. */
    void set(const std::string &name, const std::string &help, std::int64_t value);

    /** Sets the gauges of a replica. */
    void setReplica(const replica_status &replica);

    /** Returns what happened since the last call. */
    edge_activity takeActivity() { return std::exchange(m_activity, {}); }
    /** Returns all metrics in the Prometheus text format. */
    std::string text() const { return m_registry.text(); }

private:
    metric_registry m_registry;
    counter &m_connections;
    counter &m_acceptFailures;
    counter &m_rejectedConnections;
    counter &m_callersGone;
    latency_histogram &m_loopDelay;
    counter &m_requests;
    counter &m_sends;
    edge_activity m_activity;
};

} // namespace quetzal
