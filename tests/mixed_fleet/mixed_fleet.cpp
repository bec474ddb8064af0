#include "mixed_fleet/mixed_fleet.h"

#include <algorithm>

namespace quetzal::bench {

namespace {

constexpr absl::Duration warmUp = absl::Seconds(5);

/** Three classes of model requests, of which the first shares the longest prompt parts. */
std::vector<class_plan> modelClasses()
{
    return {{.name = "dossier",
             .service = "model",
             .perSecond = 81.0,
             .latencyObjective = absl::Milliseconds(800),
             .deadline = absl::Seconds(12),
             .sharedParts = {{.tokens = {.mean = 13300.0, .logStdDev = 0.7, .max = 39900.0},
                              .variantCount = 302,
                              .skew = 0.3}},
             .ownTokens = {.mean = 3720.0, .logStdDev = 1.1, .max = 53200.0},
             .outputTokens = {.mean = 120.0, .logStdDev = 1.4, .max = 480.0}},
            {.name = "letter",
             .isResumable = true,
             .service = "model",
             .perSecond = 36.0,
             .latencyObjective = absl::Milliseconds(600),
             .deadline = absl::Seconds(6),
             .attempts = 2,
             .sharedParts
             = {{.tokens = {.mean = 2520.0, .logStdDev = 0.4, .max = 6290.0}, .variantCount = 4},
                {.tokens = {.mean = 3780.0, .logStdDev = 0.7, .max = 11300.0},
                 .variantCount = 300,
                 .skew = 0.3}},
             .ownTokens = {.mean = 2890.0, .logStdDev = 1.0, .max = 39600.0},
             .outputTokens = {.mean = 52.0, .logStdDev = 1.4, .max = 208.0}},
            {.name = "note",
             .service = "model",
             .perSecond = 101.0,
             .latencyObjective = absl::Milliseconds(500),
             .deadline = absl::Seconds(15),
             .sharedParts
             = {{.tokens = {.mean = 210.0, .logStdDev = 0.4, .max = 524.0}, .variantCount = 40},
                {.tokens = {.mean = 140.0, .logStdDev = 0.7, .max = 419.0},
                 .variantCount = 848,
                 .skew = 0.3}},
             .ownTokens = {.mean = 1110.0, .logStdDev = 1.0, .max = 3790.0},
             .outputTokens = {.mean = 172.0, .logStdDev = 0.89, .max = 600.0}}};
}

} // namespace

mixed_fleet::mixed_fleet(const mixed_fleet_options &options)
    : m_events(absl::UnixEpoch() + absl::Hours(1))
    , m_invariants(invariant_limits {})
    , m_load(loadOf(options))
    , m_fleet(m_events, m_invariants, planOf(options, m_load))
    , m_callers(m_events, m_fleet, m_invariants, m_load)
    , m_busyTimes(m_fleet.targetCount())
    , m_wasUp(m_fleet.targetCount(), true)
{
    m_events.runUntil(m_events.now() + warmUp);
    m_callers.start(options.loadDuration);
    scheduleOutage(options.outage);
    m_events.every(absl::Seconds(1), [this] { measureSecond(); });
    m_events.runUntil(m_events.now() + options.loadDuration);
}

load_plan mixed_fleet::loadOf(const mixed_fleet_options &options)
{
    return {.classes = modelClasses(),
            .workspaces = workspaces,
            .workspaceSkew = 1.0,
            .singleVmWorkspaces = options.singleVmWorkspaces,
            .singleVmRepeats = true,
            .changes = options.changes,
            .seed = options.seed};
}

fleet_plan mixed_fleet::planOf(const mixed_fleet_options &options, const load_plan &load)
{
    fleet_plan plan {
        .dataCentres = {"a", "b", "c", "d"},
        .vms = options.vms,
        .services
        = {{.name = "model",
            .targets = options.targets,
            .parameters = engine_parameters {.stepPerRequest = absl::Microseconds(44.5),
                                             .stepPerThousandTokens = absl::Microseconds(8),
                                             .tokensPerEvent = 4,
                                             .memoryTokens = 498602},
            .cold = {.requestsPerSecond = 6.3},
            .maxConnections = 750}},
        .workspaces = load.workspaceNames(),
        .tokensPerSecond = 533000.0,
        .seed = load.seed};
    for (const class_plan &kind : load.classes)
        plan.routes.push_back(kind.toRoute());
    return plan;
}

void mixed_fleet::scheduleOutage(const target_outage &outage)
{
    for (int index = 0; index < outage.targets; ++index) {
        const auto target = static_cast<std::size_t>(index);
        m_events.after(outage.from,
                       [this, target] { m_fleet.crashTarget(target, crash_kind::Reset); });
        m_events.after(outage.until, [this, target] { m_fleet.restartTarget(target); });
    }
}

void mixed_fleet::measureSecond()
{
    absl::Duration busy;
    double up = 0.0;
    for (std::size_t index = 0; index < m_fleet.targetCount(); ++index) {
        const absl::Duration before
            = std::exchange(m_busyTimes[index], m_fleet.target(index).busyTime());
        const emulated_target &target = m_fleet.target(index);
        const bool wasUp = m_wasUp[index];
        m_wasUp[index] = target.isUp();
        if (!wasUp || !target.isUp() || target.isCold(m_events.now()))
            continue;
        busy += m_busyTimes[index] - before;
        up += 1.0;
    }
    m_busyFractions.push_back(absl::ToDoubleSeconds(busy) / std::max(up, 1.0));
}

std::vector<share_violation> mixed_fleet::violations(absl::Duration from, absl::Duration until)
{
    return m_invariants.shares().violations(m_callers.startedAt() + from,
                                            m_callers.startedAt() + until);
}

std::vector<share_margin> mixed_fleet::margins(absl::Duration from, absl::Duration until)
{
    return m_invariants.shares().margins(m_callers.startedAt() + from,
                                         m_callers.startedAt() + until);
}

bool mixed_fleet::isGreedy(std::size_t workspace) const
{
    return std::any_of(m_load.changes.begin(), m_load.changes.end(), [&](const auto &change) {
        return change.workspace == static_cast<int>(workspace);
    });
}

double mixed_fleet::refusedFraction(int second) const
{
    const absl::Time from = m_callers.startedAt() + absl::Seconds(second);
    const service_sum sum = m_callers.statistics().ofWindow(from, from + absl::Seconds(1));
    return sum.requests == 0 ? 0.0
                             : static_cast<double>(sum.refused) / static_cast<double>(sum.requests);
}

} // namespace quetzal::bench
