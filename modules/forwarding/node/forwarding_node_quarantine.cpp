#include "forwarding/node/forwarding_node.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <string>

namespace quetzal {

namespace {

constexpr int statusUnavailable = 503;
constexpr absl::Duration minRetryAfterHeld = absl::Seconds(1);
/** A target that crashes under a prompt does so when it begins to answer, not this much later. */
constexpr absl::Duration maxTimeToCrash = absl::Milliseconds(500);
/** The time after which all routers have told what they know of the end of a target. */
constexpr absl::Duration minSettleTime = absl::Milliseconds(300);
constexpr int settleIntervals = 2;
/** Held parts are told again so often that a router that starts hears of them at once. */
constexpr absl::Duration minHeldRepeatInterval = absl::Milliseconds(500);
constexpr absl::Duration heldRepeatIntervalPerPeer = absl::Milliseconds(50);
/** Names the key-value service where logs name the router that told of a part. */
constexpr char partRecordSource[] = "store";

} // namespace

void forwarding_node::onPromptSound(std::uint64_t number, absl::Time now)
{
    const auto open = m_openRequests.find(number);
    if (open != m_openRequests.end() && open->second.answerBeganAt <= now)
        m_quarantine.onSound(open->second.sharedParts, open->second.answerBeganAt);
}

void forwarding_node::recordLoss(const open_request &request, const std::string &target,
                                 absl::Time now)
{
    const target_state *state = m_directory.find(target);
    const bool isExpected = state == nullptr || state->record.isDraining;
    const bool isInnocent = now - request.answerBeganAt > maxTimeToCrash;
    if (isExpected || isInnocent || request.sharedParts.empty())
        return;
    const network_address &address = state->record.address;
    const std::string place = address.host + ':' + std::to_string(address.port);
    m_quarantine.onLoss(
        {.end = {.target = {.target = stableHash(target), .startedAtMs = request.targetStartedAtMs},
                 .address = stableHash(place),
                 .at = now},
         .parts = request.sharedParts},
        now);
}

trial_turn forwarding_node::turnToTry(part_id part) const
{
    const std::string key = std::to_string(part);
    const std::uint64_t own = rendezvousWeight(key, m_options.routers.self);
    const auto &members = m_options.routers.members;
    const auto before
        = std::count_if(members.begin(), members.end(), [&](const std::string &member) {
              return rendezvousWeight(key, member) > own;
          });
    return {.rank = static_cast<std::size_t>(before),
            .routers = std::max<std::size_t>(members.size(), 1)};
}

std::optional<rejection> forwarding_node::rejectHeldPart(const request_description &description,
                                                         absl::Time now)
{
    const held_part *held = m_quarantine.findHeld(description.prompt);
    if (held == nullptr)
        return std::nullopt;
    const held_part_cause cause {
        .part = held->part, .ends = held->ends.size(), .heldFor = now - held->since};
    const absl::Duration untilTrial = nextTrialAt(*held) - now;
    if (untilTrial <= absl::ZeroDuration()
        && m_quarantine.tryTrial(held->part, turnToTry(held->part), now))
        return std::nullopt;
    return rejection {.status = statusUnavailable,
                      .code = result_code::PromptPartHeld,
                      .retryAfter = std::max(untilTrial, minRetryAfterHeld),
                      .heldPart = cause};
}

void forwarding_node::checkEndedTargets(absl::Time now)
{
    for (const target_end &end : m_quarantine.endsToCheck(m_options.recordRemovalTime, now)) {
        const auto id = m_targetOfHash.find(end.target.target);
        if (id != m_targetOfHash.end()
            && m_directory.isStillListed(id->second, end.target.startedAtMs, end.at,
                                         m_options.recordRemovalTime, now))
            m_quarantine.onTargetRunning(end.target);
    }
}

std::optional<quarantine_digest> forwarding_node::makeQuarantineDigest(absl::Time now)
{
    const std::size_t peers = std::max<std::size_t>(m_options.routers.members.size(), 1) - 1;
    checkEndedTargets(now);
    m_quarantine.update(std::max(minSettleTime, backlogInterval(peers) * settleIntervals), now);
    const absl::Duration repeatInterval
        = std::max(minHeldRepeatInterval, heldRepeatIntervalPerPeer * static_cast<double>(peers));
    auto news = m_quarantine.takeNews(repeatInterval, now);
    if (!news)
        return std::nullopt;
    return quarantine_digest {
        .vm = m_options.routers.self, .madeAt = now, .news = *std::move(news)};
}

void forwarding_node::onPartRecord(const held_part &record, std::int64_t revision, absl::Time now)
{
    m_partArchive.onRecord(record, revision);
    m_quarantine.onNews({.held = {record}}, partRecordSource, now);
}

std::optional<archive_write> forwarding_node::nextPartWrite(absl::Time now)
{
    if (m_options.routers.members.empty())
        return std::nullopt;
    return m_partArchive.next(
        m_quarantine.partsToKeep(), [this](part_id part) { return turnToTry(part); }, now);
}

} // namespace quetzal
