#include "emulator/caller/caller_population.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

/** The size of a request counts up to this many times its kind's mean. */
constexpr double mostSize = 4.0;
/** What a generation is worth whatever its size. */
constexpr double fixedWorth = 0.3;
/** A made token counts as many read ones in the size of a request. */
constexpr double outputWeight = 10.0;
/** How long after its time an attempt may still be without an end. */
constexpr absl::Duration overdueSlack = absl::Milliseconds(500);
constexpr absl::Duration rotationInterval = absl::Seconds(1);
constexpr int missesOutOfRotation = 2;
/** Callers come back no later than after this part of the time that they have left. */
constexpr double mostWaitPart = 1.0 / 3.0;
constexpr int statusOk = 200;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

} // namespace

caller_population::caller_population(event_queue &events, emulated_fleet &fleet,
                                     promise_oracle &oracle, load_plan plan)
    : m_events(events)
    , m_fleet(fleet)
    , m_oracle(oracle)
    , m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_workspaceWeights(skewedWeights(m_plan.workspaces, m_plan.workspaceSkew))
    , m_misses(fleet.vmCount(), missesOutOfRotation)
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
    for (std::size_t vm = 0; vm < m_misses.size(); ++vm) {
        emulated_router *router = m_fleet.router(vm);
        const bool isReady = router != nullptr && m_fleet.isReachable(vm) && router->isReady();
        m_misses[vm] = isReady ? 0 : m_misses[vm] + 1;
    }
}

double caller_population::factorOf(std::size_t workspace) const
{
    double factor = 1.0;
    const absl::Duration since = m_events.now() - m_startedAt;
    for (const load_change &change : m_plan.changes) {
        const bool isOn = since >= change.at && since < change.at + change.lasts;
        if (isOn && change.workspace == static_cast<int>(workspace))
            factor *= change.factor;
    }
    return factor;
}

void caller_population::scheduleNext(std::size_t classIndex)
{
    double factor = m_factor;
    const absl::Duration since = m_events.now() - m_startedAt;
    for (const load_change &change : m_plan.changes) {
        if (change.workspace < 0 && since >= change.at && since < change.at + change.lasts)
            factor *= change.factor;
    }
    double weights = 0.0;
    double usual = 0.0;
    for (std::size_t workspace = 0; workspace < m_workspaceWeights.size(); ++workspace) {
        weights += m_workspaceWeights[workspace] * factorOf(workspace);
        usual += m_workspaceWeights[workspace];
    }
    const double rate = m_plan.classes[classIndex].perSecond * factor * weights / usual;
    m_events.after(m_random.wait(rate), [this, classIndex] {
        if (m_events.now() >= m_endsAt)
            return;
        attempt(makeWish(classIndex));
        scheduleNext(classIndex);
    });
}

std::vector<prompt_part> caller_population::makePrompt(const class_plan &kind,
                                                       std::size_t classIndex)
{
    std::vector<prompt_part> prompt;
    std::string chain = std::to_string(classIndex);
    for (const shared_part_figures &part : kind.sharedParts) {
        const std::size_t thing = m_random.pick(skewedWeights(part.things, part.skew));
        chain += "/" + std::to_string(thing);
        const std::uint64_t id = stableHash(chain);
        random_source sizes(id);
        prompt.push_back({.id = id, .tokens = static_cast<std::int64_t>(sizes.size(part.tokens))});
    }
    prompt.push_back({.id = stableHash(std::to_string(m_lastId) + "own"),
                      .tokens = static_cast<std::int64_t>(m_random.size(kind.ownTokens))});
    return prompt;
}

std::shared_ptr<caller_population::caller_wish> caller_population::makeWish(std::size_t classIndex)
{
    const class_plan &kind = m_plan.classes[classIndex];
    auto wish = std::make_shared<caller_wish>();
    wish->classIndex = classIndex;
    std::vector<double> weights = m_workspaceWeights;
    for (std::size_t workspace = 0; workspace < weights.size(); ++workspace)
        weights[workspace] *= factorOf(workspace);
    wish->workspace = m_random.pick(weights);
    wish->dataCentre = m_random.below(m_fleet.plan().dataCentres.size());
    wish->sentAt = m_events.now();
    wish->isLeaving = m_random.isTrue(m_plan.leaving);
    ++m_lastId;
    wish->request.description = {.method = "POST",
                                 .host = "emulated",
                                 .path = "/" + kind.name + "/x",
                                 .key = "key-w" + std::to_string(wish->workspace + 1),
                                 .callerTimeout = kind.deadline};
    wish->request.isStream = kind.kind == request_kind::Stream;
    wish->request.isDoomed = m_random.isTrue(kind.doomed);
    if (!kind.isModelRequest()) {
        wish->request.work = absl::Milliseconds(m_random.size(kind.workMs));
        return wish;
    }
    wish->request.description.prompt = makePrompt(kind, classIndex);
    wish->request.outputTokens
        = std::max<std::int64_t>(static_cast<std::int64_t>(m_random.size(kind.outputTokens)), 1);
    wish->request.description.maxOutputTokens = wish->request.outputTokens;
    double mean = kind.ownTokens.mean + outputWeight * kind.outputTokens.mean;
    for (const shared_part_figures &part : kind.sharedParts)
        mean += part.tokens.mean;
    const double size = static_cast<double>(tokensOf(wish->request.description.prompt))
        + outputWeight * static_cast<double>(wish->request.outputTokens);
    wish->size = std::min(fixedWorth + (1.0 - fixedWorth) * size / mean, mostSize);
    return wish;
}

std::optional<std::size_t> caller_population::pickVm(std::size_t dataCentre)
{
    std::vector<std::size_t> own;
    std::vector<std::size_t> all;
    for (std::size_t vm = 0; vm < m_misses.size(); ++vm) {
        if (m_misses[vm] >= missesOutOfRotation)
            continue;
        all.push_back(vm);
        if (m_fleet.dataCentreOf(vm) == m_fleet.plan().dataCentres[dataCentre])
            own.push_back(vm);
    }
    const std::vector<std::size_t> &among = own.empty() ? all : own;
    if (among.empty())
        return std::nullopt;
    return among[m_random.below(among.size())];
}

void caller_population::attempt(const std::shared_ptr<caller_wish> &wish)
{
    const class_plan &kind = m_plan.classes[wish->classIndex];
    const absl::Time now = m_events.now();
    const absl::Duration left = wish->sentAt + kind.deadline - now;
    ++wish->attempts;
    const auto vm = pickVm(wish->dataCentre);
    emulated_router *router = vm ? m_fleet.router(*vm) : nullptr;
    if (router == nullptr || left <= absl::ZeroDuration()) {
        comeBackOrEnd(wish, absl::Seconds(1), service_outcome::Failed);
        return;
    }
    auto under = std::make_shared<caller_attempt>();
    under->wish = wish;
    under->id = kind.name + "-" + std::to_string(++m_lastId);
    ++m_open;
    caller_request request = wish->request;
    request.description.id = under->id;
    request.description.callerTimeout = left;
    const bool isRepeatable = kind.toRoute().isRepeatable();
    m_oracle.onSent(under->id, kind.service, isRepeatable, now);
    const absl::Duration oneWay = m_fleet.plan().toCallers;
    m_events.after(oneWay, [this, under, request, vm = *vm, oneWay] {
        emulated_router *reached = m_fleet.router(vm);
        const auto back = [this, under, oneWay](const caller_event &event) {
            m_events.after(oneWay, [this, under, event] { onEvent(under, event); });
        };
        if (reached == nullptr) {
            back(connection_broken {});
            return;
        }
        under->router = reached;
        under->number = reached->receive(request, back);
    });
    if (wish->isLeaving) {
        const absl::Duration stay = kind.latencyObjective * m_random.unit();
        m_events.after(stay + oneWay, [this, under] { leave(*under); });
    }
    m_events.after(left + overdueSlack, [this, under] { onOverdue(*under); });
}

void caller_population::leave(caller_attempt &attempt)
{
    if (attempt.isOver)
        return;
    close(attempt, false);
    if (attempt.router != nullptr)
        attempt.router->onCallerDisconnected(attempt.number);
    conclude(*attempt.wish, service_outcome::Left, absl::ZeroDuration());
}

void caller_population::onOverdue(caller_attempt &attempt)
{
    if (attempt.isOver)
        return;
    const bool couldAnswer = attempt.router != nullptr && attempt.router->isRunning()
        && attempt.router->wokeAt() < m_events.now() - overdueSlack;
    if (couldAnswer)
        m_oracle.report(attempt.id + " has no end although its time is up");
    close(attempt, false);
    if (attempt.router != nullptr)
        attempt.router->onCallerDisconnected(attempt.number);
    conclude(*attempt.wish, service_outcome::Failed, absl::ZeroDuration());
}

void caller_population::close(caller_attempt &attempt, bool promisedUnrun)
{
    attempt.isOver = true;
    --m_open;
    m_oracle.onEnded(attempt.id, promisedUnrun);
}

void caller_population::onEvent(const std::shared_ptr<caller_attempt> &attempt,
                                const caller_event &event)
{
    if (attempt->isOver)
        return;
    if (const auto *own = std::get_if<own_answer>(&event)) {
        onOwnAnswer(*attempt, own->reason);
    } else if (const auto *whole = std::get_if<whole_answer>(&event)) {
        onWhole(*attempt, *whole);
    } else if (const auto *text = std::get_if<stream_text>(&event)) {
        onText(*attempt, text->text);
    } else if (std::holds_alternative<stream_ended>(event)) {
        onStreamEnd(*attempt);
    } else if (std::holds_alternative<connection_broken>(event)) {
        close(*attempt, false);
        onFailure(*attempt);
    }
}

void caller_population::onOwnAnswer(caller_attempt &attempt, const rejection &reason)
{
    const bool promisesUnrun = reason.status == statusUnavailable || reason.status == statusTooMany;
    close(attempt, promisesUnrun);
    if (promisesUnrun)
        comeBackOrEnd(attempt.wish, reason.retryAfter.value_or(absl::ZeroDuration()),
                      service_outcome::Refused);
    else
        onFailure(attempt);
}

void caller_population::onFailure(const caller_attempt &attempt)
{
    if (m_plan.classes[attempt.wish->classIndex].kind == request_kind::Idempotent)
        comeBackOrEnd(attempt.wish, absl::ZeroDuration(), service_outcome::Failed);
    else
        conclude(*attempt.wish, service_outcome::Failed, absl::ZeroDuration());
}

void caller_population::comeBackOrEnd(const std::shared_ptr<caller_wish> &wish, absl::Duration wait,
                                      service_outcome outcome)
{
    const class_plan &kind = m_plan.classes[wish->classIndex];
    const absl::Duration left = wish->sentAt + kind.deadline - m_events.now();
    if (wish->attempts > kind.retries || left <= absl::ZeroDuration()) {
        conclude(*wish, outcome, absl::ZeroDuration());
        return;
    }
    m_events.after(std::min(wait, left * mostWaitPart), [this, wish] { attempt(wish); });
}

void caller_population::onText(caller_attempt &attempt, const std::string &text)
{
    const absl::Time now = m_events.now();
    if (attempt.body.empty())
        attempt.firstAfter = now - attempt.wish->sentAt;
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
    m_oracle.onAnswer(attempt.id, attempt.body == expected + closing && number > 0);
    close(attempt, false);
    const class_plan &kind = m_plan.classes[attempt.wish->classIndex];
    const bool isOnTime
        = attempt.firstAfter <= kind.latencyObjective && attempt.longestGap <= kind.gapAim;
    conclude(*attempt.wish, isOnTime ? service_outcome::OnTime : service_outcome::Late,
             attempt.firstAfter);
}

void caller_population::onWhole(caller_attempt &attempt, const whole_answer &answer)
{
    close(attempt, false);
    if (answer.status != statusOk) {
        onFailure(attempt);
        return;
    }
    m_oracle.onAnswer(attempt.id, answer.body == plainText(attempt.id));
    const absl::Duration waited = m_events.now() - attempt.wish->sentAt;
    const bool isOnTime = waited <= m_plan.classes[attempt.wish->classIndex].latencyObjective;
    conclude(*attempt.wish, isOnTime ? service_outcome::OnTime : service_outcome::Late, waited);
}

void caller_population::conclude(const caller_wish &wish, service_outcome outcome,
                                 absl::Duration waited)
{
    const class_plan &kind = m_plan.classes[wish.classIndex];
    service_record record {.classIndex = wish.classIndex,
                           .workspace = wish.workspace,
                           .sentAt = wish.sentAt,
                           .outcome = outcome,
                           .waited = waited,
                           .owed = kind.worth * wish.size};
    if (outcome == service_outcome::OnTime)
        record.earned = kind.worth * wish.size;
    if (outcome == service_outcome::Late)
        record.earned = kind.lateWorth * wish.size;
    m_account.add(record);
}

} // namespace quetzal::bench
