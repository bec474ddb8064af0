#include "forwarding/node/forwarding_node.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <span>
#include <utility>

namespace quetzal {

namespace {

constexpr int statusUnavailable = 503;
/** The Retry-After while it is not known when a target will be available. */
constexpr absl::Duration retryAfterUnknown = absl::Seconds(1);
/** The minimum Retry-After of a rejection for overload. */
constexpr absl::Duration minRetryAfter = absl::Milliseconds(200);
/** The service time that is assumed for plain requests before any was answered. */
constexpr absl::Duration initialTimePerRequest = absl::Milliseconds(50);
/** The time per prompt token that is assumed at first if the configuration sets no token rate. */
constexpr absl::Duration initialTimePerToken = absl::Microseconds(20);
/** Engines process prompt tokens faster than the configured rate, which mixes input and output. */
constexpr double promptToMixedRateRatio = 2.0;
/** The ratio of a workspace's share from which on its requests need not wait for their prompts. */
constexpr double minRatioToLeaveCache = 2.0;
/** The work of a model request in addition to processing its prompt. */
constexpr absl::Duration modelRequestOverhead = absl::Milliseconds(8);

std::vector<part_id> idsOf(std::span<const prompt_part> parts)
{
    std::vector<part_id> ids;
    for (const prompt_part &part : parts)
        ids.push_back(part.id);
    return ids;
}

/**
 * Returns a key from the last shared part of the prompt, by which requests that share it find the
 * same target.
 */
std::string affinityKey(const std::vector<prompt_part> &prompt)
{
    if (prompt.empty())
        return {};
    const prompt_part &part = prompt.size() > 1 ? prompt[prompt.size() - 2] : prompt.back();
    return std::to_string(part.id);
}

} // namespace

forwarding_node::target_view &forwarding_node::viewOf(const std::string &target,
                                                      const service_description &service)
{
    target_view &view = m_views[target];
    if (service.isModelEngine() && !view.cache)
        view.cache = std::make_unique<prompt_cache_view>(service.promptCacheTokens);
    return view;
}

service_speed &forwarding_node::speedOf(const service_description &service)
{
    const auto found = m_speeds.find(service.name);
    if (found != m_speeds.end())
        return found->second;
    absl::Duration timePerToken = initialTimePerToken;
    const double rate = m_table->limits().tokensPerSecond;
    const auto targets = static_cast<double>(m_directory.countListed(service.name));
    if (rate > 0.0 && targets > 0.0)
        timePerToken = absl::Seconds(targets / (rate * promptToMixedRateRatio));
    return m_speeds.emplace(service.name, service_speed(timePerToken, initialTimePerRequest))
        .first->second;
}

int forwarding_node::fleetColdPermits(const service_description &service) const
{
    return static_cast<int>(std::floor(service.coldRequestsPerSecond * m_options.fleet.coldFactor
                                       + m_options.fleet.coldAllowance));
}

target_candidate forwarding_node::candidateFor(const target_state &state,
                                               const service_description &service,
                                               const request_description &description,
                                               candidate_details &details, absl::Time now)
{
    const target_view &view = viewOf(state.record.id, service);
    const service_speed &speed = speedOf(service);
    const remote_load remote = m_fleet.loadOf(stableHash(state.record.id), now);
    target_candidate candidate {.id = state.record.id,
                                .backlog = view.load.backlog(now) + remote.backlog,
                                .overdue = view.load.overdue(now),
                                .failures = view.load.failures(now),
                                .isInOwnDataCentre
                                = state.record.dataCentre == m_options.dataCentre};
    details.peerBacklog = remote.backlog;
    const int slots = std::max(state.record.slots, 1);
    candidate.occupancy
        = static_cast<double>(view.load.inFlight() + remote.inFlight) / static_cast<double>(slots);
    if (!service.isModelEngine()) {
        candidate.ownWork = speed.timePerRequest() / slots;
        return candidate;
    }
    details.missingTokens = view.cache->missingTokens(description.prompt);
    const std::int64_t lastPart = description.prompt.empty() ? 0 : description.prompt.back().tokens;
    const std::int64_t repeated = std::max<std::int64_t>(details.missingTokens - lastPart, 0);
    candidate.ownWork
        = modelRequestOverhead + speed.timePerToken() * static_cast<double>(details.missingTokens);
    candidate.repeatedWork = speed.timePerToken() * static_cast<double>(repeated);
    return candidate;
}

bool forwarding_node::isTreatedAsCold(const target_state &state, const service_description &service,
                                      absl::Time now) const
{
    return service.coldStart > absl::ZeroDuration() ? m_directory.isCold(state, now)
                                                    : now < state.coldUntil;
}

forwarding_node::candidate_set
forwarding_node::collectCandidates(const admitted_request &request,
                                   const service_description &service,
                                   const request_description &description,
                                   const absl::flat_hash_set<std::string> &excluded, absl::Time now)
{
    const std::string key = affinityKey(description.prompt);
    const int permits = fleetColdPermits(service);
    candidate_set candidateSet;
    for (const target_state *state : m_directory.usableTargets(request.service, now)) {
        const std::string &id = state->record.id;
        const bool isCold = isTreatedAsCold(*state, service, now);
        if (excluded.contains(id)
            || (isCold && !m_coldLimiter.maySend(id, permits, m_options.routers, now)))
            continue;
        if (isConnectionShareUsed(id, service, now)) {
            ++candidateSet.busyTargets;
            continue;
        }
        candidate_details details {.state = state};
        candidateSet.candidates.push_back(candidateFor(*state, service, description, details, now));
        candidateSet.candidates.back().affinity = rendezvousWeight(key, id);
        candidateSet.details.push_back(details);
    }
    if (service.isModelEngine())
        rankByAffinity(candidateSet.candidates);
    return candidateSet;
}

absl::Duration forwarding_node::retryAfterNoTarget(const std::string &service, absl::Time now) const
{
    const auto availableAt = m_directory.nextAvailableAt(service, now);
    if (!availableAt || *availableAt <= now)
        return retryAfterUnknown;
    return std::max(*availableAt - now, minRetryAfter);
}

rejection forwarding_node::rejectWithoutCandidate(const admitted_request &request,
                                                  const candidate_set &candidateSet,
                                                  absl::Time now) const
{
    if (candidateSet.busyTargets > 0)
        return {.status = statusUnavailable,
                .code = result_code::RouterQueueFull,
                .retryAfter = minRetryAfter};
    return {.status = statusUnavailable,
            .code = result_code::NoTargetAvailable,
            .retryAfter = retryAfterNoTarget(request.service, now)};
}

target_pressure forwarding_node::modelPressure(absl::Time now) const
{
    target_pressure pressure;
    absl::Duration sum;
    for (const service_description &service : m_table->services()) {
        if (!service.isModelEngine())
            continue;
        for (const target_state *state : m_directory.usableTargets(service.name, now)) {
            absl::Duration backlog = m_fleet.loadOf(stableHash(state->record.id), now).backlog;
            const auto view = m_views.find(state->record.id);
            if (view != m_views.end()) {
                if (view->second.load.failures(now) >= m_options.weights.maxFailures)
                    continue;
                backlog += view->second.load.backlog(now);
            }
            sum += std::min(backlog, m_options.capacity.maxCountedBacklog);
            ++pressure.targets;
        }
    }
    if (pressure.targets > 0)
        pressure.meanBacklog = sum / static_cast<double>(pressure.targets);
    return pressure;
}

share_state forwarding_node::shareOf(const admitted_request &request,
                                     const service_description &service, absl::Time now)
{
    if (!service.isModelEngine())
        return {};
    if (m_accounts.isFairLevelDue(now))
        m_accounts.updateFairLevel(m_fleet, modelPressure(now), now);
    return m_accounts.shareOf(request.workspace, m_fleet, now);
}

rejection forwarding_node::rejectBeyondShare(const share_state &share)
{
    return {.status = statusUnavailable,
            .code = result_code::RouterQueueFull,
            .retryAfter = retryAfterBeyondShare(share),
            .overload = overload_cause {.isBeyondShare = true, .share = share}};
}

absl::Duration forwarding_node::maxBacklog(const admitted_request &request,
                                           const share_state &share, absl::Time now) const
{
    const absl::Duration objective = request.matchedRoute->latencyObjective;
    return std::min(backlogLimit(share, objective, m_options.limits), request.deadline - now);
}

std::size_t forwarding_node::leaveFullTarget(const candidate_set &candidateSet, std::size_t best,
                                             const admitted_request &request,
                                             const share_state &share, absl::Duration limit) const
{
    // Another target processes the prompt again. If many did that, all would lose their caches.
    if (shareOverDemand(share) < minRatioToLeaveCache)
        return best;
    const absl::Duration inTime = std::min(limit, request.matchedRoute->latencyObjective);
    if (candidateSet.candidates[best].backlog <= inTime)
        return best;
    return chooseTarget(candidateSet.candidates, m_options.weights, inTime).value_or(best);
}

std::variant<placement, rejection>
forwarding_node::place(std::uint64_t number, const admitted_request &request,
                       const request_description &description,
                       const absl::flat_hash_set<std::string> &excluded, absl::Time now)
{
    const service_description *service = request.table->service(request.service);
    if (service == nullptr)
        return rejectWithoutCandidate(request, {}, now);
    if (auto held = rejectHeldPart(description, now))
        return *std::move(held);
    const share_state share = shareOf(request, *service, now);
    // A request that was placed before has been counted in the share.
    const bool isFirst = excluded.empty();
    const bool isCounted = isFirst && !description.prompt.empty();
    const std::int64_t tokens = costInTokens(description);
    if (isFirst && !isWithinShare(share, shareDraw(description.id))) {
        m_accounts.onDecided(request.workspace, tokens, false, now);
        return rejectBeyondShare(share);
    }
    const candidate_set candidateSet
        = collectCandidates(request, *service, description, excluded, now);
    const auto cheapest = chooseTarget(candidateSet.candidates, m_options.weights);
    if (!cheapest) {
        if (isCounted && candidateSet.busyTargets > 0)
            m_accounts.onDecided(request.workspace, tokens, false, now);
        return rejectWithoutCandidate(request, candidateSet, now);
    }
    const absl::Duration limit = maxBacklog(request, share, now);
    const std::size_t best = leaveFullTarget(candidateSet, *cheapest, request, share, limit);
    const target_candidate &chosen = candidateSet.candidates[best];
    const candidate_details &details = candidateSet.details[best];
    const bool isAccepted = chosen.backlog <= limit;
    if (isCounted)
        m_accounts.onDecided(request.workspace, tokens, isAccepted, now);
    if (!isAccepted)
        return rejection {.status = statusUnavailable,
                          .code = result_code::RouterQueueFull,
                          .retryAfter = std::max(chosen.backlog - limit / 2, minRetryAfter),
                          .overload = overload_cause {.target = chosen.id,
                                                      .backlog = chosen.backlog,
                                                      .peerBacklog = details.peerBacklog,
                                                      .limit = limit,
                                                      .share = share}};
    placement destination
        = recordPlacement(number, request, *service, description, chosen, details, now);
    destination.candidates = candidateSet.candidates.size();
    destination.limit = limit;
    destination.share = share;
    return destination;
}

placement forwarding_node::recordPlacement(std::uint64_t number, const admitted_request &request,
                                           const service_description &service,
                                           const request_description &description,
                                           const target_candidate &chosen,
                                           const candidate_details &details, absl::Time now)
{
    const target_state &state = *details.state;
    target_view &view = viewOf(chosen.id, service);
    const bool isCold = isTreatedAsCold(state, service, now);
    m_openRequests[number] = {.service = request.service,
                              .isModelRequest = service.isModelEngine(),
                              .wasTargetIdle = chosen.backlog <= absl::ZeroDuration(),
                              .missingTokens = details.missingTokens,
                              .sentAt = now,
                              .targetStartedAtMs = state.record.startedAtMs,
                              .sharedParts = idsOf(sharedPartsOf(description.prompt))};
    view.load.onSent(number, chosen.backlog, chosen.ownWork, now);
    if (view.cache) {
        m_accounts.onPlaced(costInTokens(description), chosen.ownWork, now);
        view.cache->use(description.prompt);
        queuePromptForDigest(chosen.id, description);
    }
    if (service.coldStart > absl::ZeroDuration())
        m_coldLimiter.onSent(chosen.id, now);
    return {.target = chosen.id,
            .address = state.record.address,
            .dataCentre = state.record.dataCentre,
            .maxConnections = maxConnectionsTo(chosen.id, service, now),
            .isCold = isCold,
            .backlog = chosen.backlog,
            .peerBacklog = details.peerBacklog,
            .work = chosen.ownWork,
            .missingTokens = details.missingTokens};
}

connection_bounds forwarding_node::connectionBounds(const service_description &service) const
{
    return {.maxConnections = service.maxConnections, .routers = m_options.routers.members.size()};
}

int forwarding_node::maxConnectionsTo(const std::string &target, const service_description &service,
                                      absl::Time now) const
{
    if (service.maxConnections == 0)
        return 0;
    const connection_bounds bounds = connectionBounds(service);
    const int usedBeyond
        = m_fleet.inFlightBeyond(stableHash(target), guaranteedConnections(bounds), now);
    return connectionShare(bounds, usedBeyond);
}

bool forwarding_node::isConnectionShareUsed(const std::string &target,
                                            const service_description &service,
                                            absl::Time now) const
{
    const auto view = m_views.find(target);
    const int inFlight = view == m_views.end() ? 0 : view->second.load.inFlight();
    if (service.maxConnections == 0 || inFlight < guaranteedConnections(connectionBounds(service)))
        return false;
    return inFlight >= maxConnectionsTo(target, service, now);
}

} // namespace quetzal
