#include "forwarding/node/forwarding_node.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzal {

namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
/** The Retry-After while there is no configuration. */
constexpr absl::Duration retryAfterStart = absl::Seconds(1);
/** Some turns of a busy event loop: the callers of one workspace may all come back to it. */
constexpr absl::Duration retryAfterOverloaded = absl::Milliseconds(100);
/** Weights of the kinds of failures in the choice of a target. */
constexpr double unreachableWeight = 2.0;
constexpr double lostAnswerWeight = 1.0;
constexpr double failedAnswerWeight = 0.15;
constexpr double refusalWeight = 0.7;
/** Requests on connections that are open already come on top of those on new ones. */
constexpr double requestsPerConnectionTaken = 2.0;

/** Returns a number from 0 to 1 that differs between routers. */
double phaseOf(const std::string &router)
{
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(stableHash(router) % steps) / static_cast<double>(steps);
}

} // namespace

forwarding_node::forwarding_node(forwarding_options options)
    : m_options(std::move(options))
    , m_directory(m_options.recordRemovalTime)
    , m_connectionLimiter(turnLimitsOf(m_options.processorShare))
    , m_requestLimiter(turnLimitsOf(m_options.processorShare * requestsPerConnectionTaken))
    , m_coldLimiter(m_options.startedAt)
    , m_retryBudget(m_options.fleet.retries, m_options.startedAt)
    , m_accounts(m_options.capacity)
    , m_quarantine({.newsPhase = phaseOf(m_options.routers.self)})
    , m_answerMemory(m_options.maxAnswerBytes)
{
}

void forwarding_node::setRouters(router_group routers)
{
    m_options.routers = std::move(routers);
    m_fleet.setPeerCount(std::max<std::size_t>(m_options.routers.members.size(), 1) - 1);
}

bool forwarding_node::setRoutes(std::shared_ptr<const route_table> table)
{
    if (m_table && table->version() <= m_table->version())
        return false;
    m_table = std::move(table);
    return true;
}

void forwarding_node::setFleetLimits(const fleet_limits &limits)
{
    m_options.fleet = limits;
    m_retryBudget.setLimits(limits.retries);
}

void forwarding_node::shortenShutdown(absl::Duration grace)
{
    if (m_shutdown)
        m_shutdown->shorten(grace);
}

void forwarding_node::applyTarget(const target_record &record, bool wasListedAtStart,
                                  absl::Time now)
{
    const target_state *known = m_directory.find(record.id);
    const bool isRestarted = known != nullptr && known->record.startedAtMs != record.startedAtMs;
    if (isRestarted)
        m_views.erase(record.id);
    absl::Duration coldStart;
    if (const service_description *service = m_table ? m_table->service(record.service) : nullptr;
        service != nullptr && !wasListedAtStart)
        coldStart = service->coldStart;
    m_directory.apply(record, coldStart, now);
    m_targetOfHash[stableHash(record.id)] = record.id;
}

void forwarding_node::removeTarget(const std::string &id, absl::Time now)
{
    m_directory.remove(id, now);
    m_coldLimiter.removeExpired(now);
    forgetIfRemoved(id);
}

void forwarding_node::dropTarget(const std::string &id)
{
    m_directory.drop(id);
    forgetIfRemoved(id);
}

void forwarding_node::forgetIfRemoved(const std::string &id)
{
    if (m_directory.find(id) != nullptr)
        return;
    m_targetOfHash.erase(stableHash(id));
    dropViewIfRemoved(id);
}

void forwarding_node::setEvacuated(const absl::flat_hash_set<std::string> &dataCentres,
                                   absl::Time now)
{
    absl::flat_hash_map<std::string, absl::Duration> coldStarts;
    if (m_table) {
        for (const service_description &service : m_table->services())
            coldStarts[service.name] = service.coldStart;
    }
    m_directory.setEvacuated(dataCentres, coldStarts, now);
}

std::variant<admitted_request, rejection> forwarding_node::admit(const request_description &request,
                                                                 absl::Time arrivedAt) const
{
    if (!m_table)
        return missingConfigurationRejection();
    const route *matchedRoute = m_table->find(request.host, request.path);
    if (matchedRoute == nullptr || matchedRoute->services.empty())
        return rejection {.status = statusNotFound, .code = result_code::ServiceUnknown};
    const std::string *workspace
        = request.key.empty() ? nullptr : m_table->workspaceOf(request.key);
    if (m_table->hasWorkspaces() && !matchedRoute->isPublic && workspace == nullptr)
        return rejection {.status = statusUnauthorized, .code = result_code::KeyUnknown};
    absl::Time deadline = arrivedAt + matchedRoute->timeout;
    if (request.callerTimeout)
        deadline = std::min(deadline, arrivedAt + *request.callerTimeout);
    return admitted_request {.table = m_table,
                             .matchedRoute = matchedRoute,
                             .service = serviceFor(*matchedRoute, request.id),
                             .workspace = workspace == nullptr ? std::string() : *workspace,
                             .arrivedAt = arrivedAt,
                             .deadline = deadline};
}

rejection forwarding_node::missingConfigurationRejection()
{
    return {.status = statusUnavailable,
            .code = result_code::ConfigurationMissing,
            .retryAfter = retryAfterStart};
}

rejection forwarding_node::connectionRejection()
{
    return {.status = statusUnavailable,
            .code = result_code::RouterOverloaded,
            .retryAfter = retryAfterOverloaded};
}

void forwarding_node::onTurnEnded()
{
    m_connectionLimiter.onTurnEnded();
    m_requestLimiter.onTurnEnded();
}

std::optional<rejection> forwarding_node::rejectIfOverloaded()
{
    if (m_requestLimiter.tryTake())
        return std::nullopt;
    return connectionRejection();
}

void forwarding_node::onAdmitted(const admitted_request &request, absl::Time now)
{
    m_retryBudget.onRequest(request.service, now);
}

void forwarding_node::dropViewIfRemoved(const std::string &target)
{
    const auto view = m_views.find(target);
    if (view == m_views.end() || view->second.load.inFlight() > 0
        || m_directory.find(target) != nullptr)
        return;
    m_views.erase(view);
}

void forwarding_node::onNotServed(const admitted_request &request,
                                  const request_description &description, absl::Time now)
{
    if (!description.prompt.empty())
        m_accounts.onNotServed(request.workspace, costInTokens(description), now);
}

bool forwarding_node::trySpendRetry(const std::string &service, absl::Time now)
{
    return m_retryBudget.trySpend(service, m_options.routers.members.size(), now);
}

void forwarding_node::onAnswerBegan(std::uint64_t number, const std::string &target, absl::Time now)
{
    const auto open = m_openRequests.find(number);
    const auto view = m_views.find(target);
    if (open == m_openRequests.end() || view == m_views.end())
        return;
    open->second.answerBeganAt = std::min(open->second.answerBeganAt, now);
    view->second.load.onAnswerBegan(number);
    m_directory.markAlive(target, open->second.sentAt);
    const auto speed = m_speeds.find(open->second.service);
    if (speed == m_speeds.end())
        return;
    const absl::Duration time = now - open->second.sentAt;
    if (!open->second.isModelRequest)
        speed->second.onAnswered(time);
    else if (open->second.wasTargetIdle)
        speed->second.onPromptProcessed(open->second.missingTokens, time);
}

void forwarding_node::onAnswerComplete(const admitted_request &request,
                                       const request_description &description, absl::Duration time)
{
    m_answerTimes.onAnswered(request.matchedRoute->name, costInTokens(description), time);
}

absl::Duration forwarding_node::expectedAnswerTime(const admitted_request &request,
                                                   const request_description &description) const
{
    return m_answerTimes.expected(request.matchedRoute->name, costInTokens(description))
        .value_or(request.matchedRoute->latencyObjective);
}

void forwarding_node::onEnded(std::uint64_t number, const std::string &target, exchange_end end,
                              absl::Time now)
{
    const auto open = m_openRequests.extract(number);
    if (end == exchange_end::Lost && !open.empty())
        recordLoss(open.mapped(), target, now);
    const auto view = m_views.find(target);
    if (view == m_views.end())
        return;
    target_load &load = view->second.load;
    load.onEnded(number);
    switch (end) {
    case exchange_end::Answered:
    case exchange_end::Cancelled:
        break;
    case exchange_end::FailedAnswer:
        load.onFailure(failedAnswerWeight, now);
        break;
    case exchange_end::RefusedUnrun:
        load.onFailure(refusalWeight, now);
        break;
    case exchange_end::NotSent:
        load.onFailure(unreachableWeight, now);
        m_directory.markUnreachable(target, now);
        break;
    case exchange_end::Lost:
        load.onFailure(lostAnswerWeight, now);
        m_directory.markUnreachable(target, now);
        break;
    case exchange_end::Unusable:
        load.onFailure(lostAnswerWeight, now);
        break;
    }
    dropViewIfRemoved(target);
}

void forwarding_node::onNotice(std::uint64_t number, const std::string &target,
                               const answer_description &answer, absl::Time now)
{
    const auto open = m_openRequests.find(number);
    if (open == m_openRequests.end())
        return;
    if (answer.isTargetLeaving)
        m_directory.markLeaving(target, open->second.targetStartedAtMs, now);
    if (answer.retryAfter)
        m_directory.markRefusing(target, open->second.targetStartedAtMs, now + *answer.retryAfter,
                                 now);
}

void forwarding_node::onReport(const std::string &target, const reported_load &report)
{
    if (const auto view = m_views.find(target); view != m_views.end())
        view->second.load.onReport(report);
}

} // namespace quetzal
