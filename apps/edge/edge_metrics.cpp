#include "apps/edge/edge_metrics.h"

#include "foundation/errors/result_code.h"

#include <algorithm>

namespace quetzal {

namespace {

const char *nameOf(request_kind kind)
{
    switch (kind) {
    case request_kind::Idempotent:
        return "idempotent";
    case request_kind::NonIdempotent:
        return "non_idempotent";
    case request_kind::Stream:
        return "stream";
    }
    return "";
}

} // namespace

edge_metrics::edge_metrics()
    : m_connections(
        m_registry.counterFor("quetzal_edge_connections_total", "Connections taken from callers."))
    , m_acceptFailures(m_registry.counterFor("quetzal_edge_accept_failures_total",
                                             "Connections that could not be accepted."))
    , m_rejectedConnections(
          m_registry.counterFor("quetzal_edge_rejected_connections_total",
                                "Connections turned away unread for want of processor time."))
    , m_callersGone(m_registry.counterFor("quetzal_edge_callers_gone_total",
                                          "Callers that left before their request was started."))
    , m_loopDelay(m_registry.histogramFor("quetzal_edge_loop_delay_seconds",
                                          "How late the event loop runs its timers.", {}))
    , m_requests(m_registry.counterFor("quetzal_edge_requests_total", "Requests read whole."))
    , m_sends(m_registry.counterFor("quetzal_edge_sends_total", "Requests sent to targets."))
{
}

void edge_metrics::onLoopDelay(absl::Duration delay)
{
    m_loopDelay.record(delay);
    m_activity.minDelay = std::min(m_activity.minDelay, delay);
    m_activity.maxDelay = std::max(m_activity.maxDelay, delay);
}

void edge_metrics::onRequest(std::size_t bodyBytes)
{
    m_requests.add();
    ++m_activity.requests;
    m_activity.bodyBytes += static_cast<std::int64_t>(bodyBytes);
}

void edge_metrics::onAttemptFailed(const std::string &name)
{
    m_registry
        .counterFor("quetzal_edge_attempts_failed_total", "Sends without an answer for the caller.",
                    {{"failure", name}})
        .add();
}

void edge_metrics::onFirstByte(request_kind kind, absl::Duration time)
{
    m_registry
        .histogramFor("quetzal_edge_first_byte_seconds",
                      "From the request to the first byte of its answer.", {{"kind", nameOf(kind)}})
        .record(time);
}

void edge_metrics::onEnd(const std::string &outcome, int code, absl::Duration time)
{
    if (code == static_cast<int>(result_code::RouterOverloaded))
        ++m_activity.turnedAway;
    m_registry
        .counterFor("quetzal_edge_ended_total", "Requests that are over, by result.",
                    {{"outcome", outcome}, {"code", std::to_string(code)}})
        .add();
    m_registry
        .histogramFor("quetzal_edge_request_seconds", "From the request to its end.",
                      {{"outcome", outcome}})
        .record(time);
}

void edge_metrics::set(const std::string &name, const std::string &help, std::int64_t value)
{
    m_registry.gaugeFor("quetzal_edge_" + name, help).set(static_cast<double>(value));
}

void edge_metrics::setReplica(const replica_status &replica)
{
    const metric_labels labels {{"prefix", replica.prefix}};
    const auto setGauge = [&](const std::string &name, const std::string &help, double value) {
        m_registry.gaugeFor("quetzal_edge_replica_" + name, help, labels).set(value);
    };
    setGauge("revision", "The revision of the store up to which changes are known.",
             static_cast<double>(replica.revision));
    setGauge("missed_revision", "The revision of a change that others have; 0 for none.",
             static_cast<double>(replica.missedRevision));
    setGauge("age_seconds", "The time since the replica was current.",
             absl::ToDoubleSeconds(replica.age));
}

} // namespace quetzal
