#include "emulator/caller/caller_population.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

/** Upper bound of the size of a request, relative to the mean of its class. */
constexpr double maxSize = 4.0;
/** Part of the worth of a model request that does not depend on its size. */
constexpr double baseWorth = 0.3;
/** Weight of an output token relative to a prompt token in the size of a request. */
constexpr double outputWeight = 10.0;
/** Time after its deadline within which an attempt must end. */
constexpr absl::Duration overdueSlack = absl::Milliseconds(500);
/** Interval of the load balancer's health checks. */
constexpr absl::Duration rotationInterval = absl::Seconds(1);
/** Consecutive failed health checks after which a VM is taken out of rotation. */
constexpr int failedChecksBeforeRemoval = 2;
/** Upper bound of the delay before a retry, as a fraction of the remaining time. */
constexpr double maxRetryDelayFraction = 1.0 / 3.0;
/** Callers leave a router that has not read their request after this time, or part of theirs. */
constexpr absl::Duration maxUnreadTime = absl::Seconds(1);
constexpr double maxUnreadFraction = 1.0 / 3.0;
constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

} // namespace

caller_population::caller_population(event_queue &events, emulated_fleet &fleet,
                                     invariant_checker &invariants, load_plan plan)
    : m_events(events)
    , m_fleet(fleet)
    , m_invariants(invariants)
    , m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_workspaceWeights(skewedWeights(m_plan.workspaces, m_plan.workspaceSkew))
    , m_failedHealthChecks(fleet.vmCount(), failedChecksBeforeRemoval)
    , m_startedAt(events.now())
    , m_endsAt(events.now())
{
    m_events.every(rotationInterval, [this] { updateRotation(); });
}

void caller_population::start(absl::Duration duration)
{
    m_startedAt = m_events.now();
    m_endsAt = m_startedAt + duration;
    for (std::size_t index = 0; index < m_plan.classes.size(); ++index)
        scheduleNext(index);
}

void caller_population::updateRotation()
{
    for (std::size_t vm = 0; vm < m_failedHealthChecks.size(); ++vm) {
        emulated_router *router = m_fleet.router(vm);
        const bool isReady = router != nullptr && m_fleet.isReachable(vm) && router->isReady();
        m_failedHealthChecks[vm] = isReady ? 0 : m_failedHealthChecks[vm] + 1;
    }
}

double caller_population::loadFactorOf(std::size_t workspace) const
{
    double factor = 1.0;
    const absl::Duration since = m_events.now() - m_startedAt;
    for (const load_change &change : m_plan.changes) {
        const bool isActive = since >= change.at && since < change.at + change.duration;
        if (isActive && change.workspace == static_cast<int>(workspace))
            factor *= change.factor;
    }
    return factor;
}

void caller_population::scheduleNext(std::size_t classIndex)
{
    double factor = m_loadFactor;
    const absl::Duration since = m_events.now() - m_startedAt;
    for (const load_change &change : m_plan.changes) {
        if (change.workspace < 0 && since >= change.at && since < change.at + change.duration)
            factor *= change.factor;
    }
    double weights = 0.0;
    double baseWeight = 0.0;
    for (std::size_t workspace = 0; workspace < m_workspaceWeights.size(); ++workspace) {
        weights += m_workspaceWeights[workspace] * loadFactorOf(workspace);
        baseWeight += m_workspaceWeights[workspace];
    }
    const double rate = m_plan.classes[classIndex].perSecond * factor * weights / baseWeight;
    m_events.after(m_random.wait(rate), [this, classIndex] {
        if (m_events.now() >= m_endsAt)
            return;
        attempt(makeOperation(classIndex));
        scheduleNext(classIndex);
    });
}

std::vector<prompt_part> caller_population::makePrompt(const class_plan &kind,
                                                       std::size_t classIndex)
{
    std::vector<prompt_part> prompt;
    std::string chain = std::to_string(classIndex);
    for (const shared_prompt_part &part : kind.sharedParts) {
        const std::size_t variant = m_random.pick(skewedWeights(part.variantCount, part.skew));
        chain += "/" + std::to_string(variant);
        const std::uint64_t id = stableHash(chain);
        random_source sizes(id);
        prompt.push_back({.id = id, .tokens = static_cast<std::int64_t>(sizes.size(part.tokens))});
    }
    prompt.push_back({.id = stableHash(std::to_string(m_lastId) + "own"),
                      .tokens = static_cast<std::int64_t>(m_random.size(kind.ownTokens))});
    const absl::Duration since = m_events.now() - m_startedAt;
    for (const added_part &added : m_plan.addedParts) {
        const bool isActive = added.classIndex == classIndex && since >= added.at
            && since < added.at + added.duration;
        if (isActive && m_random.isTrue(added.fraction))
            prompt.insert(prompt.begin() + static_cast<std::ptrdiff_t>(added.position), added.part);
    }
    return prompt;
}

std::shared_ptr<caller_population::caller_operation>
caller_population::makeOperation(std::size_t classIndex)
{
    const class_plan &kind = m_plan.classes[classIndex];
    auto operation = std::make_shared<caller_operation>();
    operation->classIndex = classIndex;
    std::vector<double> weights = m_workspaceWeights;
    for (std::size_t workspace = 0; workspace < weights.size(); ++workspace)
        weights[workspace] *= loadFactorOf(workspace);
    operation->workspace = m_random.pick(weights);
    operation->dataCentre = m_random.below(m_fleet.plan().dataCentres.size());
    operation->sentAt = m_events.now();
    operation->willAbandon = m_random.isTrue(m_plan.abandoningFraction);
    ++m_lastId;
    operation->request.description = {.method = "POST",
                                      .host = "emulated",
                                      .path = "/" + kind.name + "/x",
                                      .key = "key-w" + std::to_string(operation->workspace + 1),
                                      .callerTimeout = kind.deadline};
    operation->request.isStream = kind.kind == request_kind::Stream;
    operation->request.alwaysFails = m_random.isTrue(kind.alwaysFailingFraction);
    if (kind.bodyBytes.mean > 0.0)
        operation->request.bodyBytes = static_cast<std::int64_t>(m_random.size(kind.bodyBytes));
    if (!kind.isModelRequest()) {
        operation->request.work = absl::Milliseconds(m_random.size(kind.workMs));
        return operation;
    }
    operation->request.description.prompt = makePrompt(kind, classIndex);
    operation->request.outputTokens
        = std::max<std::int64_t>(static_cast<std::int64_t>(m_random.size(kind.outputTokens)), 1);
    operation->request.description.maxOutputTokens = operation->request.outputTokens;
    double mean = kind.ownTokens.mean + outputWeight * kind.outputTokens.mean;
    for (const shared_prompt_part &part : kind.sharedParts)
        mean += part.tokens.mean;
    const double size = static_cast<double>(tokensOf(operation->request.description.prompt))
        + outputWeight * static_cast<double>(operation->request.outputTokens);
    operation->size = std::min(baseWorth + (1.0 - baseWorth) * size / mean, maxSize);
    return operation;
}

std::optional<std::size_t> caller_population::pickVm(const caller_operation &operation)
{
    const auto &single = m_plan.singleVmWorkspaces;
    const bool isRetry = operation.attempts > 1;
    if ((!isRetry || m_plan.singleVmRepeats)
        && std::find(single.begin(), single.end(), operation.workspace) != single.end())
        return operation.workspace % m_failedHealthChecks.size();
    std::vector<std::size_t> own;
    std::vector<std::size_t> all;
    for (std::size_t vm = 0; vm < m_failedHealthChecks.size(); ++vm) {
        if (m_failedHealthChecks[vm] >= failedChecksBeforeRemoval)
            continue;
        all.push_back(vm);
        if (m_fleet.dataCentreOf(vm) == m_fleet.plan().dataCentres[operation.dataCentre])
            own.push_back(vm);
    }
    const std::vector<std::size_t> &candidates = own.empty() ? all : own;
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random.below(candidates.size())];
}

void caller_population::attempt(const std::shared_ptr<caller_operation> &operation)
{
    const class_plan &kind = m_plan.classes[operation->classIndex];
    const absl::Time now = m_events.now();
    const absl::Duration remaining = operation->sentAt + kind.deadline - now;
    ++operation->attempts;
    const auto vm = pickVm(*operation);
    emulated_router *router = vm ? m_fleet.router(*vm) : nullptr;
    if (router == nullptr || remaining <= absl::ZeroDuration()) {
        retryOrConclude(operation, absl::Seconds(1), service_outcome::Failed);
        return;
    }
    auto current = std::make_shared<caller_attempt>();
    current->operation = operation;
    current->id = kind.name + "-" + std::to_string(++m_lastId);
    ++m_openAttempts;
    caller_request request = operation->request;
    request.description.id = current->id;
    request.description.callerTimeout = remaining;
    const bool isRepeatable = kind.toRoute().isRepeatable();
    m_invariants.onAttemptSent(current->id, kind.service, isRepeatable, now);
    if (kind.isModelRequest())
        m_invariants.shares().onRequested(current->id, operation->workspace,
                                          costInTokens(request.description), now);
    const absl::Duration oneWay = m_fleet.plan().callerDelay;
    m_events.after(oneWay, [this, current, request, vm = *vm, oneWay] {
        emulated_router *receiver = m_fleet.router(vm);
        const auto back = [this, current, oneWay](const caller_event &event) {
            m_events.after(oneWay, [this, current, event] { onEvent(current, event); });
        };
        if (receiver == nullptr) {
            back(connection_broken {});
            return;
        }
        current->router = receiver;
        current->number = receiver->receive(request, back);
    });
    m_events.after(std::min(maxUnreadTime, remaining * maxUnreadFraction),
                   [this, current] { leaveIfUnread(current); });
    if (operation->willAbandon) {
        const absl::Duration abandonAfter = kind.latencyObjective * m_random.unit();
        m_events.after(abandonAfter + oneWay, [this, current] { abandon(*current); });
    }
    m_events.after(remaining + overdueSlack, [this, current] { onOverdue(*current); });
}

void caller_population::abandon(caller_attempt &attempt)
{
    if (attempt.isFinished)
        return;
    finishAttempt(attempt, false);
    if (attempt.router != nullptr)
        attempt.router->onCallerDisconnected(attempt.number);
    conclude(*attempt.operation, service_outcome::Abandoned, absl::ZeroDuration());
}

void caller_population::leaveIfUnread(const std::shared_ptr<caller_attempt> &attempt)
{
    if (attempt->isFinished || attempt->router == nullptr
        || !attempt->router->isUnread(attempt->number))
        return;
    ++m_unreadAttempts;
    finishAttempt(*attempt, false);
    attempt->router->onCallerDisconnected(attempt->number);
    retryOrConclude(attempt->operation, absl::ZeroDuration(), service_outcome::Failed);
}

void caller_population::onOverdue(caller_attempt &attempt)
{
    if (attempt.isFinished)
        return;
    const bool couldAnswer = attempt.router != nullptr && attempt.router->isRunning()
        && attempt.router->unfrozenAt() < m_events.now() - overdueSlack;
    if (couldAnswer)
        m_invariants.addViolation(attempt.id + " has no end although its time is up");
    finishAttempt(attempt, false);
    if (attempt.router != nullptr)
        attempt.router->onCallerDisconnected(attempt.number);
    conclude(*attempt.operation, service_outcome::Failed, absl::ZeroDuration());
}

void caller_population::finishAttempt(caller_attempt &attempt, bool isReportedNotExecuted)
{
    attempt.isFinished = true;
    --m_openAttempts;
    m_invariants.onAttemptEnded(attempt.id, isReportedNotExecuted);
    measureWait(attempt, isReportedNotExecuted);
}

void caller_population::measureWait(const caller_attempt &attempt, bool isReportedNotExecuted)
{
    const caller_operation &operation = *attempt.operation;
    const class_plan &kind = m_plan.classes[operation.classIndex];
    if (!kind.isModelRequest())
        return;
    if (isReportedNotExecuted)
        m_invariants.shares().onRefused(operation.workspace, m_events.now());
    const absl::Time objectiveAt = operation.sentAt + kind.latencyObjective;
    const absl::Time answeredAt
        = attempt.body.empty() ? m_events.now() : operation.sentAt + attempt.firstEventDelay;
    if (answeredAt > objectiveAt)
        m_invariants.shares().onLate(operation.workspace, objectiveAt, answeredAt);
}

void caller_population::onEvent(const std::shared_ptr<caller_attempt> &attempt,
                                const caller_event &event)
{
    if (attempt->isFinished)
        return;
    if (const auto *own = std::get_if<router_answer>(&event)) {
        onRouterAnswer(*attempt, own->reason);
    } else if (const auto *whole = std::get_if<complete_answer>(&event)) {
        onCompleteAnswer(*attempt, *whole);
    } else if (const auto *text = std::get_if<stream_text>(&event)) {
        onStreamText(*attempt, text->text);
    } else if (std::holds_alternative<stream_ended>(event)) {
        onStreamEnd(*attempt);
    } else if (std::holds_alternative<connection_broken>(event)) {
        finishAttempt(*attempt, false);
        onFailure(*attempt);
    }
}

void caller_population::onRouterAnswer(caller_attempt &attempt, const rejection &reason)
{
    const bool isReportedNotExecuted
        = reason.status == statusUnavailable || reason.status == statusTooManyRequests;
    finishAttempt(attempt, isReportedNotExecuted);
    if (isReportedNotExecuted)
        retryOrConclude(attempt.operation, reason.retryAfter.value_or(absl::ZeroDuration()),
                        service_outcome::Refused);
    else
        onFailure(attempt);
}

void caller_population::onFailure(const caller_attempt &attempt)
{
    if (m_plan.classes[attempt.operation->classIndex].kind == request_kind::Idempotent)
        retryOrConclude(attempt.operation, absl::ZeroDuration(), service_outcome::Failed);
    else
        conclude(*attempt.operation, service_outcome::Failed, absl::ZeroDuration());
}

void caller_population::retryOrConclude(const std::shared_ptr<caller_operation> &operation,
                                        absl::Duration wait, service_outcome outcome)
{
    const class_plan &kind = m_plan.classes[operation->classIndex];
    const absl::Duration remaining = operation->sentAt + kind.deadline - m_events.now();
    if (operation->attempts > kind.retries || remaining <= absl::ZeroDuration()) {
        conclude(*operation, outcome, absl::ZeroDuration());
        return;
    }
    m_events.after(std::min(wait, remaining * maxRetryDelayFraction),
                   [this, operation] { attempt(operation); });
}

void caller_population::onStreamText(caller_attempt &attempt, const std::string &text)
{
    const absl::Time now = m_events.now();
    if (attempt.body.empty())
        attempt.firstEventDelay = now - attempt.operation->sentAt;
    else
        attempt.longestGap = std::max(attempt.longestGap, now - attempt.lastTextAt);
    attempt.lastTextAt = now;
    attempt.body += text;
}

void caller_population::onStreamEnd(caller_attempt &attempt)
{
    std::string expected;
    int number = 0;
    const std::string closing = closingText(attempt.id);
    while (expected.size() + closing.size() < attempt.body.size())
        expected += eventText(attempt.id, ++number);
    m_invariants.onAnswer(attempt.id, attempt.body == expected + closing && number > 0);
    finishAttempt(attempt, false);
    const class_plan &kind = m_plan.classes[attempt.operation->classIndex];
    const bool isOnTime = attempt.firstEventDelay <= kind.latencyObjective
        && attempt.longestGap <= kind.maxEventGap;
    conclude(*attempt.operation, isOnTime ? service_outcome::OnTime : service_outcome::Late,
             attempt.firstEventDelay);
}

void caller_population::onCompleteAnswer(caller_attempt &attempt, const complete_answer &answer)
{
    finishAttempt(attempt, false);
    if (answer.status != statusOk) {
        onFailure(attempt);
        return;
    }
    m_invariants.onAnswer(attempt.id, answer.body == plainText(attempt.id));
    const absl::Duration waited = m_events.now() - attempt.operation->sentAt;
    const bool isOnTime = waited <= m_plan.classes[attempt.operation->classIndex].latencyObjective;
    conclude(*attempt.operation, isOnTime ? service_outcome::OnTime : service_outcome::Late,
             waited);
}

void caller_population::conclude(const caller_operation &operation, service_outcome outcome,
                                 absl::Duration waited)
{
    const class_plan &kind = m_plan.classes[operation.classIndex];
    service_record record {.classIndex = operation.classIndex,
                           .workspace = operation.workspace,
                           .sentAt = operation.sentAt,
                           .outcome = outcome,
                           .waited = waited,
                           .attainableWorth = kind.worth * operation.size};
    if (outcome == service_outcome::OnTime)
        record.earnedWorth = kind.worth * operation.size;
    if (outcome == service_outcome::Late)
        record.earnedWorth = kind.lateWorth * operation.size;
    m_statistics.add(record);
}

} // namespace quetzal::bench
