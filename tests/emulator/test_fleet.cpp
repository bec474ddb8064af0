#include "emulator/test_fleet.h"

namespace quetzal::bench {

namespace {

constexpr double coldRequestsPerSecond = 6.0;
constexpr double coldFactor = 1.5;
constexpr double coldAllowance = 5.0;
/** The configured limits on cold targets, relative to those that the test checks. */
constexpr double coldSafetyFactor = 0.9;
constexpr double retryRatio = 0.2;
constexpr double retryAllowance = 52.0;

load_plan loadOf(const test_fleet_options &options)
{
    load_plan load {
        .workspaces = 6, .abandoningFraction = options.abandoningFraction, .seed = options.seed};
    const std::vector<shared_prompt_part> parts
        = {{.tokens = {.mean = 4000.0, .logStdDev = 0.5, .max = 12000.0},
            .variantCount = 20,
            .skew = 0.3}};
    load.classes = {{.name = "chat",
                     .service = "model",
                     .perSecond = 20.0 * options.load,
                     .sharedParts = parts,
                     .ownTokens = {.mean = 800.0, .logStdDev = 0.8, .max = 8000.0},
                     .outputTokens = {.mean = 40.0, .logStdDev = 0.8, .max = 200.0}},
                    {.name = "letter",
                     .isResumable = true,
                     .service = "model",
                     .perSecond = 10.0 * options.load,
                     .attempts = 2,
                     .sharedParts = parts,
                     .ownTokens = {.mean = 800.0, .logStdDev = 0.8, .max = 8000.0},
                     .outputTokens = {.mean = 60.0, .logStdDev = 0.8, .max = 300.0}},
                    {.name = "book",
                     .kind = request_kind::NonIdempotent,
                     .service = "plain",
                     .perSecond = 15.0 * options.load,
                     .latencyObjective = absl::Milliseconds(300),
                     .deadline = absl::Seconds(2),
                     .workMs = {.mean = 60.0, .logStdDev = 0.5, .max = 400.0}},
                    {.name = "read",
                     .kind = request_kind::Idempotent,
                     .service = "plain",
                     .perSecond = 15.0 * options.load,
                     .latencyObjective = absl::Milliseconds(300),
                     .deadline = absl::Seconds(2),
                     .attempts = 2,
                     .workMs = {.mean = 60.0, .logStdDev = 0.5, .max = 400.0},
                     .alwaysFailingFraction = 0.05}};
    return load;
}

fleet_plan planOf(const test_fleet_options &options, const load_plan &load)
{
    const cold_parameters cold {.coldStart = absl::Seconds(3),
                                .requestsPerSecond = coldRequestsPerSecond};
    fleet_plan plan {
        .vms = options.vms,
        .services
        = {{.name = "model",
            .targets = 4,
            .parameters = engine_parameters {.slots = 16, .queue = 20, .memoryTokens = 120000},
            .cold = cold},
           {.name = "plain",
            .targets = 4,
            .parameters = plain_parameters {.slots = 4, .queue = 12},
            .cold = cold,
            .maxConnections = 60}},
        .workspaces = load.workspaceNames(),
        .tokensPerSecond = 150000.0,
        .limits = {.retries = {.ratio = retryRatio, .allowance = retryAllowance},
                   .coldFactor = coldFactor * coldSafetyFactor,
                   .coldAllowance = coldAllowance * coldSafetyFactor},
        .hasExchange = options.hasExchange,
        .seed = options.seed};
    for (const class_plan &kind : load.classes)
        plan.routes.push_back(kind.toRoute());
    return plan;
}

invariant_limits limitsOf()
{
    const double cold = coldRequestsPerSecond * coldFactor + coldAllowance;
    return {.coldRequests = {{"model", cold}, {"plain", cold}},
            .retryRatio = retryRatio,
            .retryAllowance = retryAllowance};
}

} // namespace

test_fleet::test_fleet(const test_fleet_options &options)
    : m_events(absl::UnixEpoch() + absl::Hours(1))
    , m_invariants(std::make_unique<invariant_checker>(limitsOf()))
{
    const load_plan load = loadOf(options);
    m_fleet = std::make_unique<emulated_fleet>(m_events, *m_invariants, planOf(options, load));
    m_callers = std::make_unique<caller_population>(m_events, *m_fleet, *m_invariants, load);
    m_events.every(absl::Milliseconds(50), [this] { checkVersions(); });
    constexpr absl::Duration warmUpDuration = absl::Seconds(5);
    run(warmUpDuration);
    m_callers->start(absl::Hours(1));
}

void test_fleet::checkVersions()
{
    for (std::size_t vm = 0; vm < m_fleet->vmCount(); ++vm) {
        const emulated_router *router = m_fleet->router(vm);
        if (router == nullptr || !m_fleet->router(vm)->node().routes())
            continue;
        const std::int64_t version = m_fleet->router(vm)->node().routes()->version();
        std::int64_t &newest = m_versions[router];
        if (version < newest)
            m_invariants->addViolation(router->vm() + " returned to an older configuration");
        newest = std::max(newest, version);
    }
}

void test_fleet::run(absl::Duration duration)
{
    m_events.runUntil(m_events.now() + duration);
}

void test_fleet::runFaults(const std::vector<fault> &faults)
{
    constexpr absl::Duration maxStopDuration = absl::Seconds(9);
    run(scheduleFaults(faults, *m_fleet, *m_callers) + maxStopDuration);
    for (std::size_t target = 0; target < m_fleet->targetCount(); ++target)
        m_fleet->restartTarget(target);
    for (std::size_t vm = 0; vm < m_fleet->vmCount(); ++vm)
        m_fleet->startVm(vm);
}

void test_fleet::checkSettled()
{
    for (std::size_t vm = 0; vm < m_fleet->vmCount(); ++vm) {
        emulated_router *router = m_fleet->router(vm);
        if (router == nullptr || !router->isReady())
            m_invariants->addViolation("a VM is not ready although all faults are over");
        else if (router->node().routes()->version() != m_fleet->version())
            m_invariants->addViolation(router->vm() + " has a stale configuration in effect");
    }
}

std::vector<std::string> test_fleet::finish()
{
    m_callers->setLoadFactor(0.0);
    run(absl::Seconds(20));
    return m_invariants->violations();
}

service_sum test_fleet::servedSince(absl::Time from) const
{
    return m_callers->statistics().ofWindow(from, m_events.now());
}

} // namespace quetzal::bench
