#pragma once

#include "forwarding/route/route_table.h"
#include "telemetry/metrics/metric_registry.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

/** The counters and latencies of one edge process. */
class edge_metrics
{
public:
    edge_metrics();

    void onConnection() { m_connections.add(); }
    void onRequest() { m_requests.add(); }
    void onSend() { m_sends.add(); }
    /** A send that got no answer for the caller; name: what went wrong. */
    void onAttemptFailed(const std::string &name);
    /** The first byte of an answer for the caller arrived this long after the request. */
    void onFirstByte(request_kind kind, absl::Duration time);
    /** A request is over; code: the number of the result, 0 for the target's own answer. */
    void onEnd(const std::string &outcome, int code, absl::Duration time);
    /** A number that is read when the metrics are asked for. */
    void set(const std::string &name, const std::string &help, std::int64_t value);

    /** All metrics in the text format of Prometheus. */
    std::string text() const { return m_registry.text(); }

private:
    metric_registry m_registry;
    counter &m_connections;
    counter &m_requests;
    counter &m_sends;
};

} // namespace quetzal
