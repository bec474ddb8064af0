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

/** Sends the whole load on threads of its own and keeps the books. */
class load_runner
{
public:
    load_runner(load_settings settings, configuration_document document);

    /**
     * Runs for the duration of the settings and until the last request has ended. Calls onSecond
     * about every second of the duration, at its start and at its end, on a thread of its own.
     */
    void run(const std::function<void()> &onSecond);

    const load_statistics &statistics() const { return m_statistics; }
    /** Gap of each service, by its name. */
    const std::map<std::string, gap_meter> &gaps() const { return m_gaps; }

private:
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
    bool sendNext(flow_state &state);
    void sampleGaps();
    void callEverySecond(const std::function<void()> &onSecond) const;
    void addGapSample();
    bool isBacklogged(const load_workspace &workspace, const std::string &service) const;
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
