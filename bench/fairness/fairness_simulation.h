#pragma once

#include "fairness/service_gap.h"
#include "fairness/workload.h"
#include "simulation/event_queue.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzal::bench {

/**
 * Requirements of fairness_simulation on a policy. A policy divides the slots into partitions and
 * chooses the next workspace in each of them. dispatched() and progressed() return the amount
 * charged for the request so far.
 */
template <typename policy_type>
concept dispatch_policy
    = requires(policy_type &policy, const simulated_request &request, event_queue &events)
{
    {
        policy.partitions()
        } -> std::convertible_to<int>;
    {
        policy.next(0)
        } -> std::convertible_to<int>;
    {
        policy.dispatched(0, request)
        } -> std::convertible_to<double>;
    {
        policy.progressed(0, request, 0.0, 0.0)
        } -> std::convertible_to<double>;
    policy.ended(0, request, 0.0, 0.0);
    policy.exchange(events);
    policy.loseOwner(0);
    policy.loseHome(0);
};

/** Options of fairness_simulation. */
struct simulation_options
{
    workload load;
    absl::Duration duration = absl::Minutes(30);
    /** Interval at which shards exchange charges. */
    absl::Duration exchangePeriod = absl::Milliseconds(500);
    /** Interval at which routers report the units streamed by running requests. */
    absl::Duration reportPeriod = absl::Milliseconds(250);
    std::uint64_t seed = 1;
    /** Times at which the first shard loses its owner; the successor waits for takeoverDelay. */
    std::vector<absl::Duration> ownerLosses;
    absl::Duration takeoverDelay = absl::Seconds(3);
    /** Times at which the first home is lost. */
    std::vector<absl::Duration> homeLosses;
};

/**
 * The measurements of one run. Gaps are multiples of the largest weighted request; the three differ
 * in when service is counted: at dispatch, while it is streamed, or at the end.
 */
struct simulation_result
{
    double dispatchedGap = 0.0;
    double streamedGap = 0.0;
    double completedGap = 0.0;
    /** Busy fraction of the slots; all workspaces are backlogged throughout. */
    double utilisation = 0.0;
    std::int64_t requests = 0;
    /** Ledger messages and lines per second, of all VMs together. */
    double messagesPerSecond = 0.0;
    double linesPerSecond = 0.0;
};

/**
 * Simulates the slots of one service under one policy while all workspaces are backlogged
 * throughout.
 */
template <dispatch_policy policy_type>
class fairness_simulation
{
public:
    fairness_simulation(const simulation_options &options, policy_type &policy)
        : m_options(options)
        , m_policy(policy)
        , m_events(absl::UnixEpoch())
        , m_dispatched(options.load.shares)
        , m_streamed(options.load.shares)
        , m_completed(options.load.shares)
        , m_largestCosts(options.load.shares.size())
        , m_serviceRates(options.load.shares.size())
        , m_freeSlots(policy.partitions())
        , m_blocked(policy.partitions())
    {
        const int count = static_cast<int>(options.load.shares.size());
        for (int workspace = 0; workspace < count; ++workspace)
            m_streams.emplace_back(m_options.load, workspace, options.seed);
    }

    /** Runs the whole simulation and returns its measurements; to be called once. */
    simulation_result run()
    {
        distributeSlots();
        m_events.every(m_options.exchangePeriod, [this] { m_policy.exchange(m_events); });
        if (!m_options.load.countsAnswers)
            m_events.every(m_options.reportPeriod, [this] { reportProgress(); });
        for (const absl::Duration when : m_options.ownerLosses)
            m_events.after(when, [this] { loseOwner(0); });
        for (const absl::Duration when : m_options.homeLosses)
            m_events.after(when, [this] { m_policy.loseHome(0); });
        for (int partition = 0; partition < m_policy.partitions(); ++partition)
            dispatchToFreeSlots(partition);
        m_events.runUntil(absl::UnixEpoch() + m_options.duration);
        advanceStreaming();
        return result();
    }

private:
    struct running_request
    {
        simulated_request request;
        int partition = 0;
        absl::Time startTime;
        double charged = 0.0;
    };

    int slots() const { return m_options.load.targets * m_options.load.slotsPerTarget; }

    /** Distributes the slots evenly over the partitions. */
    void distributeSlots()
    {
        const int partitions = m_policy.partitions();
        for (int slot = 0; slot < slots(); ++slot)
            ++m_freeSlots[slot * partitions / slots()];
    }

    void dispatchToFreeSlots(int partition)
    {
        while (m_freeSlots[partition] > 0 && !m_blocked[partition])
            dispatch(partition);
    }

    void dispatch(int partition)
    {
        advanceStreaming();
        const int workspace = m_policy.next(partition);
        const simulated_request request = m_streams[workspace].next();
        --m_freeSlots[partition];
        ++m_requests;
        m_largestCosts[workspace] = std::max(m_largestCosts[workspace], request.cost);
        m_dispatched.add(workspace, request.cost);
        m_serviceRates[workspace] += request.cost / request.seconds;
        const std::int64_t number = m_requests;
        m_running[number] = {.request = request,
                             .partition = partition,
                             .startTime = m_events.now(),
                             .charged = m_policy.dispatched(partition, request)};
        m_events.after(absl::Seconds(request.seconds), [this, number] { end(number); });
    }

    void end(std::int64_t number)
    {
        advanceStreaming();
        const running_request ended = m_running[number];
        m_running.erase(number);
        const simulated_request &request = ended.request;
        m_serviceRates[request.workspace] -= request.cost / request.seconds;
        const bool isCounted = request.isAnswered || !m_options.load.countsAnswers;
        const double served = isCounted ? request.cost : 0.0;
        if (!isCounted) {
            m_dispatched.add(request.workspace, -request.cost);
            m_streamed.add(request.workspace, -request.cost);
        }
        m_completed.add(request.workspace, served);
        m_policy.ended(ended.partition, request, ended.charged, served);
        ++m_freeSlots[ended.partition];
        dispatchToFreeSlots(ended.partition);
    }

    /** Adds the service streamed since the last call. */
    void advanceStreaming()
    {
        const double seconds = absl::ToDoubleSeconds(m_events.now() - m_streamedUntil);
        m_streamedUntil = m_events.now();
        if (seconds <= 0.0)
            return;
        std::vector<double> amounts = m_serviceRates;
        for (double &amount : amounts)
            amount *= seconds;
        m_streamed.addAll(amounts);
        m_busySeconds += static_cast<double>(m_running.size()) * seconds;
    }

    /** Reports the units streamed by each running request to the policy. */
    void reportProgress()
    {
        for (auto &[number, item] : m_running) {
            const double seconds = absl::ToDoubleSeconds(m_events.now() - item.startTime);
            const double streamed = item.request.cost * seconds / item.request.seconds;
            item.charged
                = m_policy.progressed(item.partition, item.request, item.charged, streamed);
        }
    }

    void loseOwner(int partition)
    {
        m_policy.loseOwner(partition);
        m_blocked[partition] = true;
        m_events.after(m_options.takeoverDelay, [this, partition] {
            m_blocked[partition] = false;
            dispatchToFreeSlots(partition);
        });
    }

    simulation_result result() const
    {
        const double seconds = absl::ToDoubleSeconds(m_options.duration);
        return {.dispatchedGap = m_dispatched.maxGap(m_largestCosts),
                .streamedGap = m_streamed.maxGap(m_largestCosts),
                .completedGap = m_completed.maxGap(m_largestCosts),
                .utilisation = m_busySeconds / (seconds * slots()),
                .requests = m_requests,
                .messagesPerSecond = static_cast<double>(m_policy.messages()) / seconds,
                .linesPerSecond = static_cast<double>(m_policy.lines()) / seconds};
    }

    simulation_options m_options;
    policy_type &m_policy;
    event_queue m_events;
    service_gap m_dispatched;
    service_gap m_streamed;
    service_gap m_completed;
    std::vector<double> m_largestCosts;
    /** Units streamed per second by the running requests of each workspace. */
    std::vector<double> m_serviceRates;
    std::vector<int> m_freeSlots;
    std::vector<bool> m_blocked;
    std::vector<request_stream> m_streams;
    std::map<std::int64_t, running_request> m_running;
    std::int64_t m_requests = 0;
    absl::Time m_streamedUntil = absl::UnixEpoch();
    double m_busySeconds = 0.0;
};

} // namespace quetzal::bench
