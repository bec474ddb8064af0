#include "bench/load/load_runner.h"

#include "bench/load/request_sender.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace quetzal {

namespace {

constexpr absl::Duration samplePeriod = absl::Milliseconds(100);

} // namespace

load_runner::load_runner(load_settings settings, configuration_document document)
    : m_settings(std::move(settings))
    , m_document(std::move(document))
{
    const int routers = static_cast<int>(m_settings.routers.size());
    for (const load_workspace &workspace : m_settings.workspaces) {
        for (std::size_t flow = 0; flow < workspace.flows.size(); ++flow) {
            m_flows.push_back(
                std::make_unique<flow_state>(workspace, flow, routers, m_settings.seed));
        }
    }
}

void load_runner::run(const std::function<void()> &onSecond)
{
    m_start = absl::Now();
    m_end = m_start + m_settings.duration;
    std::thread sampler([this] { sampleGaps(); });
    std::thread observer([this, &onSecond] { callEverySecond(onSecond); });
    std::vector<std::thread> workers;
    for (const auto &state : m_flows) {
        for (int worker = 0; worker < state->concurrency; ++worker)
            workers.emplace_back([this, &state] { runWorker(*state); });
    }
    for (std::thread &worker : workers)
        worker.join();
    m_finished = true;
    sampler.join();
    observer.join();
}

void load_runner::callEverySecond(const std::function<void()> &onSecond) const
{
    for (absl::Time next = m_start; next < m_end && !m_finished; next += absl::Seconds(1)) {
        absl::SleepFor(next - absl::Now());
        onSecond();
    }
    absl::SleepFor(m_end - absl::Now());
    onSecond();
}

void load_runner::runWorker(flow_state &state)
{
    while (absl::Now() < m_end && m_sent.fetch_add(1) < m_settings.maxRequests) {
        if (!sendNext(state))
            return;
    }
}

bool load_runner::sendNext(flow_state &state)
{
    planned_request planned;
    {
        const std::lock_guard lock(state.mutex);
        planned = state.plan.next();
    }
    if (m_start + planned.at >= m_end)
        return false;
    absl::SleepFor(m_start + planned.at - absl::Now());

    const std::string id = absl::StrCat(state.workspace.name, "/", planned.requestId);
    {
        const std::lock_guard lock(m_mutex);
        m_statistics.start({id, state.workspace.name, planned.item.service,
                            planned.item.call != call_type::Plain || planned.item.idempotent,
                            answerWeight(planned.item)},
                           absl::Now());
    }
    const request_sender sender(m_settings, state.workspace);
    const load_result result = sender.send(planned, [&](int tokens) {
        const std::lock_guard lock(m_mutex);
        m_statistics.addTokens(id, tokens, absl::Now());
    });
    {
        const std::lock_guard lock(m_mutex);
        m_statistics.finish(id, result, absl::Now());
    }
    if (result.outcome != load_outcome::Complete)
        absl::SleepFor(m_settings.delayAfterRefusal);
    return true;
}

void load_runner::sampleGaps()
{
    while (!m_finished && absl::Now() < m_end) {
        absl::SleepFor(samplePeriod);
        const std::lock_guard lock(m_mutex);
        addGapSample();
    }
}

void load_runner::addGapSample()
{
    for (const service_definition &service : m_document.services) {
        std::map<std::string, gap_meter::sample> samples;
        for (const load_workspace &workspace : m_settings.workspaces) {
            const workspace_definition *definition = m_document.findWorkspace(workspace.name);
            const auto statistics = m_statistics.workspaces().find(workspace.name);
            if (definition == nullptr || statistics == m_statistics.workspaces().end())
                continue;
            const auto served = statistics->second.service.find(service.name);
            const double total = served == statistics->second.service.end() ? 0.0 : served->second;
            samples[workspace.name]
                = {total / definition->share, isBacklogged(workspace, service.name)};
        }
        m_gaps[service.name].add(samples);
    }
}

bool load_runner::isBacklogged(const load_workspace &workspace, const std::string &service) const
{
    const int inProgress = m_statistics.inProgress(workspace.name, service);
    return std::ranges::any_of(workspace.flows, [&](const load_flow &flow) {
        return flow.ratePerSecond == 0.0 && inProgress >= flow.backlogThreshold
            && std::ranges::find(flow.mix, service, &request_template::service) != flow.mix.end();
    });
}

double load_runner::answerWeight(const request_template &item) const
{
    const service_definition *service = m_document.findService(item.service);
    if (service == nullptr || service->unit == service_unit::Tokens)
        return 0.0;
    const auto kind = std::ranges::find(service->requestKinds, item.kind, &request_kind::name);
    return kind == service->requestKinds.end() ? 1.0 : kind->weight;
}

} // namespace quetzal
