#pragma once

/**
 * Module telemetry: logs, metrics and traces of the processes.
 *
 * Logs are JSON lines written through spdlog, metrics are Prometheus text with Boost.Histogram, and
 * traces are OTLP/JSON lines with W3C trace contexts. All parts are thread-safe and bounded:
 * records that cannot be written in time are dropped and counted. Depends on foundation, spdlog and
 * Boost.
 */

#include "telemetry/log/logger.h"
#include "telemetry/metrics/metric_registry.h"
#include "telemetry/timeline/request_timeline.h"
#include "telemetry/tracing/trace_context.h"
#include "telemetry/tracing/tracer.h"
