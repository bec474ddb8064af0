#pragma once

/**
 * Module telemetry: what the processes tell about themselves.
 *
 * Logs as JSON lines through spdlog, metrics as Prometheus text with Boost.Histogram, traces as
 * OTLP/JSON lines with W3C trace contexts. Depends on foundation, spdlog and Boost. Every part is
 * thread-safe and bounded: what can't be written in time is dropped and counted.
 */

#include "telemetry/log/logger.h"
#include "telemetry/metrics/metric_registry.h"
#include "telemetry/timeline/request_timeline.h"
#include "telemetry/tracing/trace_context.h"
#include "telemetry/tracing/tracer.h"
