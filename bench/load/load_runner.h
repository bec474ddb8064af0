#pragma once

#include "bench/load/gap_meter.h"
#include "bench/load/load_plan.h"
#include "bench/load/load_settings.h"
#include "bench/load/load_statistics.h"

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzal {

/** Sends the load of the settings on its own threads and collects its statistics. */
class load_runner
{
public:
    load_runner(load_settings settings, configuration_document document);

    /**
     * Sends the load for the duration of the settings and returns when the last request has ended.
     * Calls onSecond about once a second during that time, and at its start and its end, on a
     * separate thread.
     */
    void run(const std::function<void()> &onSecond);

    const load_statistics &statistics() const { return m_statistics; }
    /** Returns the gap meters by name of the service. */
    const std::map<std::string, gap_meter> &gaps() const { return m_gaps; }

private:
    /** One flow with its plan, which the workers of the flow share. */
    struct flow_state
    {
        flow_state(const load_workspace &workspace, std::size_t flow, int routers,
                   std::uint64_t seed)
            : workspace(workspace)
            , concurrency(workspace.flows.at(flow).concurrency)
            , plan(workspace, flow, routers, seed)
        {
        }

        const load_workspace &workspace;
        int concurrency;
        load_plan plan;
        std::mutex mutex;
    };

    void runWorker(flow_state &state);
    /** Sends the next request of a flow; returns false if it would start after the end. */
    bool sendNext(flow_state &state);
    void sampleGaps();
    void callEverySecond(const std::function<void()> &onSecond) const;
    void addGapSample();
    bool isBacklogged(const load_workspace &workspace, const std::string &service) const;
    /** Returns the service that an answer counts; 0 in services that count tokens. */
    double answerWeight(const request_template &item) const;

    load_settings m_settings;
    configuration_document m_document;
    std::vector<std::unique_ptr<flow_state>> m_flows;
    absl::Time m_start;
    absl::Time m_end;
    std::atomic<std::int64_t> m_sent = 0;
    std::atomic<bool> m_finished = false;
    mutable std::mutex m_mutex;
    load_statistics m_statistics;
    std::map<std::string, gap_meter> m_gaps;
};

} // namespace quetzal
