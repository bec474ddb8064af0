#include "emulator/emulator.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <string>
#include <vector>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr std::size_t singleVmWorkspace = 0;
constexpr std::size_t otherWorkspace = 1;
constexpr int workspaceCount = 10;
constexpr double usualPerSecond = 50.0;
constexpr absl::Duration warmUp = absl::Seconds(5);
constexpr absl::Duration overloadAt = absl::Seconds(2);
/** Time after the start of the overload from which on each second counts. */
constexpr absl::Duration settlingTime = absl::Seconds(1);
constexpr absl::Duration loadDuration = absl::Seconds(14);
constexpr double bodyBytes = 17000.0;
constexpr double maxBodyBytes = 100000.0;
constexpr double bodyLogStdDev = 0.8;
constexpr int bodyPartsPerRequest = 3;
constexpr int answerPartsPerRequest = 20;
constexpr int tokensPerAnswerPart = 3;
/** Most of the capacity: more than half of it in each second. */
constexpr double requiredFraction = 0.5;

/** A processor on which a request that is read and rejected costs 0.28 of one that is served. */
processor_parameters smallProcessor(absl::Duration quotaPeriod)
{
    return {.share = 0.12,
            .quotaPeriod = quotaPeriod,
            .acceptedConnection = absl::Microseconds(80),
            .rejectedConnection = absl::Microseconds(120),
            .readPart = absl::Microseconds(60),
            .sentPart = absl::Microseconds(40),
            .sentRequest = absl::Microseconds(450),
            .rejectedRequest = absl::Microseconds(140),
            .relayedPart = absl::Microseconds(30)};
}

/** Returns how many requests a second a VM can accept, read, send and answer. */
double capacityPerSecond(const processor_parameters &processor)
{
    const absl::Duration cost = processor.acceptedConnection + processor.sentRequest
        + bodyPartsPerRequest * (processor.readPart + processor.sentPart)
        + answerPartsPerRequest * processor.relayedPart;
    return processor.share * absl::FDivDuration(absl::Seconds(1), cost);
}

/**
 * A fleet in which the callers of one workspace ask one VM for a multiple of what its processor can
 * serve, while another workspace asks all VMs together for what that one VM can serve. Each request
 * is repeated once, and repeats come to the same VM; they are part of the multiple.
 */
class fleet_with_busy_processor
{
public:
    fleet_with_busy_processor(const processor_parameters &processor, double multiple,
                              std::uint64_t seed)
        : m_processor(processor)
        , m_load(loadOf(capacityPerSecond(m_processor), multiple, seed))
        , m_events(absl::UnixEpoch() + absl::Hours(1))
        , m_invariants(invariant_limits {})
        , m_fleet(m_events, m_invariants, planOf(m_load, m_processor))
        , m_callers(m_events, m_fleet, m_invariants, m_load)
    {
        m_events.runUntil(m_events.now() + warmUp);
        m_callers.start(loadDuration);
        m_events.runUntil(m_events.now() + overloadAt + settlingTime);
        std::int64_t sentBefore = sentByBusyVm();
        while (m_events.now() < m_callers.startedAt() + loadDuration) {
            m_events.runUntil(m_events.now() + absl::Seconds(1));
            m_sentBySecond.push_back(sentByBusyVm() - std::exchange(sentBefore, sentByBusyVm()));
        }
    }

    double capacity() const { return capacityPerSecond(m_processor); }
    /** Returns the sends of the busy VM in each second of the overload. */
    const std::vector<std::int64_t> &sentBySecond() const { return m_sentBySecond; }
    std::vector<share_violation> violations()
    {
        return m_invariants.shares().violations(m_callers.startedAt() + overloadAt,
                                                m_callers.startedAt() + loadDuration);
    }
    /** Returns the outcomes of the busy workspace's requests during the overload. */
    service_sum busyWorkspace() const
    {
        return m_callers.statistics().sumIf([this](const service_record &record) {
            return record.workspace == singleVmWorkspace
                && record.sentAt >= m_callers.startedAt() + overloadAt;
        });
    }
    std::size_t unreadAttempts() const { return m_callers.unreadAttempts(); }

private:
    static load_plan loadOf(double capacity, double multiple, std::uint64_t seed)
    {
        // What exceeds the capacity comes twice.
        const double firstAttempts = (multiple + 1.0) / 2.0;
        const double factor = capacity * workspaceCount / usualPerSecond;
        load_plan plan {
            .classes
            = {{.name = "dossier",
                .service = "model",
                .perSecond = usualPerSecond,
                .sharedParts = {{.tokens = {.mean = 1200.0}, .variantCount = 40}},
                .ownTokens = {.mean = 400.0},
                .outputTokens = {.mean = answerPartsPerRequest * tokensPerAnswerPart},
                .bodyBytes = {.mean = bodyBytes, .logStdDev = bodyLogStdDev, .max = maxBodyBytes}}},
            .workspaces = workspaceCount,
            .workspaceSkew = 0.0,
            .singleVmWorkspaces = {singleVmWorkspace},
            .singleVmRepeats = true,
            .seed = seed};
        for (const std::size_t workspace : {singleVmWorkspace, otherWorkspace})
            plan.changes.push_back(
                {.at = overloadAt,
                 .duration = loadDuration,
                 .factor = workspace == singleVmWorkspace ? firstAttempts * factor : factor,
                 .workspace = static_cast<int>(workspace)});
        return plan;
    }

    static fleet_plan planOf(const load_plan &load, const processor_parameters &processor)
    {
        fleet_plan plan {
            .vms = 24,
            .services = {{.name = "model",
                          .targets = 20,
                          .parameters = engine_parameters {.tokensPerEvent = tokensPerAnswerPart},
                          .maxConnections = 2400}},
            .workspaces = load.workspaceNames(),
            .tokensPerSecond = 600000.0,
            .processor = processor,
            .seed = load.seed};
        for (const class_plan &kind : load.classes)
            plan.routes.push_back(kind.toRoute());
        return plan;
    }

    std::int64_t sentByBusyVm() { return m_fleet.router(singleVmWorkspace)->sentRequests(); }

    processor_parameters m_processor;
    load_plan m_load;
    event_queue m_events;
    invariant_checker m_invariants;
    emulated_fleet m_fleet;
    caller_population m_callers;
    std::vector<std::int64_t> m_sentBySecond;
};

std::string toText(const std::vector<std::int64_t> &counts)
{
    std::string text;
    for (const std::int64_t count : counts)
        text += (text.empty() ? "" : ", ") + std::to_string(count);
    return text;
}

} // namespace

TEST_CASE("a VM that is asked for more than its processor can do keeps serving", "[saturation]")
{
    const std::uint64_t seed = GENERATE(1U, 2U);
    const absl::Duration quotaPeriod = GENERATE(absl::ZeroDuration(), absl::Milliseconds(100));
    const double multiple = GENERATE(1.0, 2.0, 4.0);
    fleet_with_busy_processor test(smallProcessor(quotaPeriod), multiple, seed);
    const service_sum busy = test.busyWorkspace();
    INFO("seed " << seed << ", quota each " << absl::FormatDuration(quotaPeriod)
                 << ", the callers of a workspace ask one VM for " << multiple
                 << " times its capacity of " << std::lround(test.capacity()) << " a second");
    INFO("sent in each second: " << toText(test.sentBySecond()));
    INFO("the workspace: " << busy.requests << " requests, " << busy.onTime << " on time, "
                           << busy.late << " late, " << busy.refused << " refused, " << busy.failed
                           << " failed; " << test.unreadAttempts() << " not read in time");

    SECTION("in each second it sends most of what its processor can serve")
    {
        for (const std::int64_t sent : test.sentBySecond())
            CHECK(static_cast<double>(sent) > requiredFraction * test.capacity());
    }
    SECTION("the workspace is not starved by one whose callers use all VMs")
    {
        for (const share_violation &violation : test.violations())
            FAIL_CHECK(bench::toText(violation));
    }
}
