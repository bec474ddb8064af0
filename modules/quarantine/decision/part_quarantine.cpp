#include "quarantine/decision/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** The number of held parts in one message, so that it fits a datagram. */
constexpr std::size_t maxHeldPerNews = 16;
/** The number of ends that are kept of a held part, and told to others. */
constexpr std::size_t maxEndsOfHeldPart = 6;
constexpr std::size_t maxEvents = 256;
/** From this number of separate moments on, requests with a part are not repeated. */
constexpr int momentsOfSuspect = 2;
/** After this time more, a listed target may have ended and started under the same identity. */
constexpr absl::Duration checkTime = absl::Seconds(15);
/** Answers that began this close together do not show which part ends targets. */
constexpr absl::Duration soundTolerance = absl::Seconds(5);

/** A part that is to be held if no other one is the likelier cause. */
struct candidate
{
    part_id part = 0;
    absl::Time soundAt;
    std::vector<target_end> ends;
};

/** Of the parts on which the last answer is the oldest, returns those with the most ends. */
std::vector<candidate> likeliestOf(std::vector<candidate> candidates)
{
    absl::Time oldest = absl::InfiniteFuture();
    for (const candidate &each : candidates)
        oldest = std::min(oldest, each.soundAt);
    std::erase_if(candidates,
                  [&](const candidate &each) { return each.soundAt > oldest + soundTolerance; });
    std::size_t most = 0;
    for (const candidate &each : candidates)
        most = std::max(most, each.ends.size());
    std::erase_if(candidates, [&](const candidate &each) { return each.ends.size() < most; });
    return candidates;
}

} // namespace

part_quarantine::part_quarantine(quarantine_options options)
    : m_limits(options.limits)
    , m_newsPhase(options.newsPhase)
{
}

void part_quarantine::onLoss(const target_loss &loss, absl::Time now)
{
    if (addLoss(loss, {}, now))
        m_outbox.addLoss(loss, now);
}

bool part_quarantine::addLoss(const target_loss &loss, std::string_view from, absl::Time now)
{
    if (!m_losses.add(loss))
        return false;
    for (const part_id part : loss.parts) {
        const absl::Time soundAt = m_losses.soundAt(part);
        if (soundAt > absl::InfinitePast() && m_outbox.isSoundUntold(part, soundAt))
            m_outbox.addSound(part, soundAt);
    }
    extendHeld(loss.parts);
    if (m_undecided.size() < loss_table::maxEnds)
        m_undecided.try_emplace(loss.end.target,
                                first_report {.receivedAt = now, .from = std::string(from)});
    return true;
}

void part_quarantine::update(absl::Duration settleTime, absl::Time now)
{
    absl::flat_hash_set<part_id> parts;
    std::string from;
    for (auto next = m_undecided.begin(); next != m_undecided.end();) {
        if (now - next->second.receivedAt < settleTime) {
            ++next;
            continue;
        }
        for (const part_id part : m_losses.partsOf(next->first))
            parts.insert(part);
        from = next->second.from;
        next = m_undecided.erase(next);
    }
    if (!parts.empty())
        decide(std::vector<part_id>(parts.begin(), parts.end()), from, now);
}

void part_quarantine::onSound(std::span<const part_id> parts, absl::Time beganAt)
{
    for (const part_id part : parts) {
        const std::vector<target_end> ends = openEndsOf(part, false);
        if (m_held.contains(part) || (!ends.empty() && ends.front().at < beganAt))
            m_outbox.addSound(part, beganAt);
        markSound(part, beganAt, {});
    }
}

void part_quarantine::markSound(part_id part, absl::Time at, std::string_view from)
{
    m_losses.markSound(part, at);
    releaseIfUnfounded(part, quarantine_step::ReleasedSound, from);
}

void part_quarantine::onNews(const quarantine_news &news, std::string_view from, absl::Time now)
{
    for (const sound_part &sound : news.sound) {
        m_outbox.onToldSound(sound);
        markSound(sound.part, sound.at, from);
    }
    for (const target_loss &loss : news.losses)
        addLoss(loss, from, now);
    for (const held_part &told : news.held)
        adopt(told, from, now);
}

void part_quarantine::adopt(const held_part &told, std::string_view from, absl::Time now)
{
    for (const target_end &end : told.ends)
        m_losses.add({.end = end, .parts = {told.part}});
    const absl::Time soundAt = m_losses.soundAt(told.part);
    const bool isOutdated = !told.ends.empty()
        && std::all_of(told.ends.begin(), told.ends.end(),
                       [&](const target_end &end) { return end.at < soundAt; });
    if (isOutdated)
        m_outbox.addSound(told.part, soundAt);
    const std::vector<target_end> ends = openEndsOf(told.part, false);
    if (!m_held.contains(told.part) && mustHold(ends, soundAt, m_limits))
        hold(told.part, ends, from, now);
    const auto held = m_held.find(told.part);
    if (held == m_held.end())
        return;
    held->second.since = std::min(held->second.since, told.since);
    if (told.trials > held->second.trials) {
        held->second.trials = told.trials;
        held->second.lastTrialAt = told.lastTrialAt;
    }
}

std::vector<target_end> part_quarantine::openEndsOf(part_id part, bool withExplained) const
{
    return endsSince(m_losses.endsOf(part, withExplained), m_losses.soundAt(part), m_limits);
}

void part_quarantine::decide(std::span<const part_id> parts, std::string_view from, absl::Time now)
{
    std::vector<candidate> candidates;
    for (const part_id part : parts) {
        const absl::Time soundAt = m_losses.soundAt(part);
        std::vector<target_end> ends = openEndsOf(part, false);
        std::erase_if(ends,
                      [this](const target_end &end) { return m_undecided.contains(end.target); });
        if (!m_held.contains(part) && mustHold(ends, soundAt, m_limits))
            candidates.push_back({.part = part, .soundAt = soundAt, .ends = std::move(ends)});
    }
    for (const candidate &chosen : likeliestOf(std::move(candidates)))
        hold(chosen.part, chosen.ends, from, now);
}

void part_quarantine::record(quarantine_step step, const held_part &part, std::string_view from)
{
    if (m_events.size() < maxEvents)
        m_events.push_back({.step = step, .part = part, .reportedBy = std::string(from)});
}

void part_quarantine::hold(part_id part, std::span<const target_end> ends, std::string_view from,
                           absl::Time now)
{
    held_part held {
        .part = part, .since = now, .ends = mostTellingEnds(ends, maxEndsOfHeldPart, m_limits)};
    const bool isFull = m_held.size() >= maxHeldParts;
    record(isFull ? quarantine_step::TableFull : quarantine_step::Held, held, from);
    if (isFull)
        return;
    m_held[part] = std::move(held);
    updateExplained();
}

void part_quarantine::extendHeld(std::span<const part_id> parts)
{
    for (const part_id part : parts) {
        const auto held = m_held.find(part);
        if (held == m_held.end() || held->second.ends.size() >= maxEndsOfHeldPart)
            continue;
        std::vector<target_end> ends
            = mostTellingEnds(openEndsOf(part, true), maxEndsOfHeldPart, m_limits);
        // The table may have dropped ends that were kept here.
        if (ends.size() > held->second.ends.size())
            held->second.ends = std::move(ends);
    }
}

void part_quarantine::releaseIfUnfounded(part_id part, quarantine_step step, std::string_view from)
{
    const auto held = m_held.find(part);
    if (held == m_held.end())
        return;
    const std::vector<target_end> ends
        = endsSince(held->second.ends, m_losses.soundAt(part), m_limits);
    if (mustHold(ends, absl::InfinitePast(), m_limits))
        return;
    record(step, held->second, from);
    m_held.erase(held);
    updateExplained();
}

void part_quarantine::updateExplained()
{
    absl::flat_hash_set<part_id> parts;
    for (const auto &[part, held] : m_held)
        parts.insert(part);
    m_losses.setHeld(std::move(parts));
}

std::vector<target_end> part_quarantine::endsToCheck(absl::Duration removalTime,
                                                     absl::Time now) const
{
    return m_losses.endsBetween(now - removalTime - checkTime, now - removalTime);
}

void part_quarantine::onTargetRunning(const target_incarnation &target)
{
    m_losses.discard(target);
    for (const part_id part : m_losses.partsOf(target)) {
        const auto held = m_held.find(part);
        if (held == m_held.end())
            continue;
        std::erase_if(held->second.ends,
                      [&](const target_end &end) { return end.target == target; });
        releaseIfUnfounded(part, quarantine_step::ReleasedTargetsRun, {});
    }
}

const held_part *part_quarantine::findHeld(const std::vector<prompt_part> &prompt) const
{
    if (m_held.empty())
        return nullptr;
    for (const prompt_part &part : sharedPartsOf(prompt)) {
        if (const auto held = m_held.find(part.id); held != m_held.end())
            return &held->second;
    }
    return nullptr;
}

bool part_quarantine::isSuspect(const std::vector<prompt_part> &prompt) const
{
    const std::span<const prompt_part> parts = sharedPartsOf(prompt);
    return findHeld(prompt) != nullptr
        || std::any_of(parts.begin(), parts.end(), [this](const prompt_part &part) {
               return momentCount(openEndsOf(part.id, false), m_limits) >= momentsOfSuspect;
           });
}

bool part_quarantine::tryTrial(part_id part, const trial_turn &turn, absl::Time now)
{
    const auto held = m_held.find(part);
    if (held == m_held.end() || !mayTryNow(held->second, turn, now))
        return false;
    ++held->second.trials;
    held->second.lastTrialAt = now;
    m_nextHeldNewsAt = now;
    record(quarantine_step::Tried, held->second, {});
    return true;
}

std::optional<quarantine_news> part_quarantine::takeNews(absl::Duration repeatInterval,
                                                         absl::Time now)
{
    quarantine_news news;
    m_outbox.takeInto(news, m_losses, now);
    addHeldNews(news, repeatInterval, now);
    return news.isEmpty() ? std::nullopt : std::optional(std::move(news));
}

void part_quarantine::addHeldNews(quarantine_news &news, absl::Duration repeatInterval,
                                  absl::Time now)
{
    if (m_held.empty()) {
        m_nextHeldNewsAt = absl::InfiniteFuture();
        return;
    }
    // Routers that hold a part at the same time tell it one after the other.
    if (m_nextHeldNewsAt == absl::InfiniteFuture())
        m_nextHeldNewsAt = now + repeatInterval * m_newsPhase;
    if (now < m_nextHeldNewsAt)
        return;
    const std::size_t count = std::min(m_held.size(), maxHeldPerNews);
    auto next = m_held.upper_bound(m_lastToldPart);
    while (news.held.size() < count) {
        if (next == m_held.end())
            next = m_held.begin();
        news.held.push_back(next->second);
        m_lastToldPart = next->first;
        ++next;
    }
    m_nextHeldNewsAt = now + repeatInterval;
}

std::vector<held_part> part_quarantine::partsToKeep() const
{
    std::vector<held_part> parts;
    for (const auto &[id, held] : m_held)
        parts.push_back(held);
    for (const part_id id : m_losses.partsOfSeveralEnds()) {
        const std::vector<target_end> ends = openEndsOf(id, false);
        if (!m_held.contains(id) && isNearlyHeld(ends, m_losses.soundAt(id), m_limits))
            parts.push_back({.part = id,
                             .since = ends.back().at,
                             .ends = mostTellingEnds(ends, maxEndsOfHeldPart, m_limits)});
    }
    return parts;
}

std::vector<quarantine_event> part_quarantine::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace quetzal
