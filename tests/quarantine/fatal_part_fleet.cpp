#include "quarantine/fatal_part_fleet.h"

#include <algorithm>

namespace quetzal::bench {

namespace {

constexpr absl::Duration warmUp = absl::Seconds(5);
constexpr absl::Duration recordInterval = absl::Milliseconds(100);
constexpr absl::Duration loadDuration = absl::Hours(1);

load_plan loadOf(const fatal_part_options &options)
{
    const std::vector<shared_prompt_part> parts
        = {{.tokens = {.mean = 2000.0, .logStdDev = 0.3, .max = 4000.0}, .variantCount = 6},
           {.tokens = {.mean = 1000.0, .logStdDev = 0.5, .max = 4000.0}, .variantCount = 10}};
    load_plan load {.workspaces = 6, .seed = options.seed};
    load.classes = {{.name = "note",
                     .service = "model",
                     .perSecond = options.requestsPerSecond / 2.0,
                     .sharedParts = parts,
                     .ownTokens = {.mean = 500.0, .logStdDev = 0.8, .max = 8000.0},
                     .outputTokens = {.mean = 60.0, .logStdDev = 0.8, .max = 300.0}},
                    {.name = "letter",
                     .isResumable = true,
                     .service = "model",
                     .perSecond = options.requestsPerSecond / 2.0,
                     .attempts = 3,
                     .sharedParts = parts,
                     .ownTokens = {.mean = 500.0, .logStdDev = 0.8, .max = 8000.0},
                     .outputTokens = {.mean = 60.0, .logStdDev = 0.8, .max = 300.0}}};
    for (const std::uint64_t part : options.fatalParts) {
        for (std::size_t kind = 0; kind < load.classes.size(); ++kind)
            load.addedParts.push_back({.part = {.id = part, .tokens = 300},
                                       .classIndex = kind,
                                       .position = options.position,
                                       .fraction = options.fatalFraction,
                                       .at = fatal_part_fleet::fatalFrom,
                                       .duration = options.fatalDuration});
    }
    return load;
}

fleet_plan planOf(const fatal_part_options &options, const load_plan &load)
{
    constexpr int vmsOfSmallFleet = 6;
    fleet_plan plan {
        .vms = options.vms,
        .services
        = {{.name = "model",
            .targets = options.vms > vmsOfSmallFleet ? 24 : 9,
            .parameters = engine_parameters {.slots = 32, .queue = 40, .memoryTokens = 300000},
            .cold = {.requestsPerSecond = 20.0}}},
        .workspaces = load.workspaceNames(),
        .tokensPerSecond = 400000.0,
        .lostDigestFraction = options.lostDigestFraction,
        .fatalParts = options.fatalParts,
        .seed = options.seed};
    for (const class_plan &kind : load.classes)
        plan.routes.push_back(kind.toRoute());
    return plan;
}

} // namespace

fatal_part_fleet::fatal_part_fleet(const fatal_part_options &options)
    : m_events(absl::UnixEpoch() + absl::Hours(1))
    , m_invariants(invariant_limits {})
{
    const load_plan load = loadOf(options);
    m_fleet = std::make_unique<emulated_fleet>(m_events, m_invariants, planOf(options, load));
    m_callers = std::make_unique<caller_population>(m_events, *m_fleet, m_invariants, load);
    m_events.every(recordInterval, [this] { recordHeld(); });
    run(warmUp);
    m_callers->start(loadDuration);
}

void fatal_part_fleet::recordHeld()
{
    for (std::size_t vm = 0; vm < m_fleet->vmCount(); ++vm) {
        if (emulated_router *router = m_fleet->router(vm); router != nullptr) {
            for (const auto &[part, held] : router->node().quarantine().held())
                m_everHeld.insert(part);
        }
    }
}

bool fatal_part_fleet::isHeldByAll(part_id part)
{
    for (std::size_t vm = 0; vm < m_fleet->vmCount(); ++vm) {
        emulated_router *router = m_fleet->router(vm);
        if (router != nullptr && !router->node().quarantine().held().contains(part))
            return false;
    }
    return true;
}

double fatal_part_fleet::servedFraction(absl::Time from, absl::Time to) const
{
    const service_sum sum = m_callers->statistics().ofWindow(from, to);
    return static_cast<double>(sum.onTime + sum.late) / static_cast<double>(sum.requests);
}

absl::Time fatal_part_fleet::boundAt() const
{
    const std::vector<absl::Time> &crashes = m_fleet->fatalCrashes();
    return crashes.size() < crashesToFind ? absl::InfiniteFuture()
                                          : crashes[crashesToFind - 1] + contactTime;
}

std::size_t fatal_part_fleet::fatalSendsAfter(absl::Time time) const
{
    const std::vector<absl::Time> &sends = m_fleet->fatalSends();
    return static_cast<std::size_t>(
        std::count_if(sends.begin(), sends.end(), [&](absl::Time at) { return at > time; }));
}

} // namespace quetzal::bench
