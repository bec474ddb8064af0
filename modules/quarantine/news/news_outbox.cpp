#include "quarantine/news/news_outbox.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace quetzal {

namespace {

/** Bounds of one message, so that it fits a datagram. */
constexpr std::size_t maxLossesPerNews = 12;
constexpr std::size_t maxPartsPerLoss = 40;
constexpr std::size_t maxSoundPerNews = 48;
constexpr int sendsPerLoss = 2;
constexpr absl::Duration lossRepeatInterval = absl::Milliseconds(300);
/** How often it is told that a part has been sound while targets end under it. */
constexpr absl::Duration soundRepeatInterval = absl::Seconds(30);
constexpr std::size_t maxQueuedLosses = 256;
constexpr std::size_t maxQueuedSound = 1024;

} // namespace

void news_outbox::addLoss(const target_loss &loss, absl::Time now)
{
    const auto queued
        = std::find_if(m_losses.begin(), m_losses.end(), [&](const outgoing_loss &outgoing) {
              return outgoing.loss.end.target == loss.end.target
                  && outgoing.sendsLeft == sendsPerLoss;
          });
    if (queued == m_losses.end()) {
        if (m_losses.size() < maxQueuedLosses)
            m_losses.push_back({.loss = loss, .sendsLeft = sendsPerLoss, .nextAt = now});
        return;
    }
    std::vector<part_id> &parts = queued->loss.parts;
    for (const part_id part : loss.parts) {
        if (std::find(parts.begin(), parts.end(), part) == parts.end())
            parts.push_back(part);
    }
}

void news_outbox::addSound(part_id part, absl::Time at)
{
    if (m_sound.size() < maxQueuedSound)
        m_sound[part] = at;
}

void news_outbox::onToldSound(const sound_part &sound)
{
    m_sound.erase(sound.part);
    recordTold(sound.part, sound.at);
}

bool news_outbox::isSoundUntold(part_id part, absl::Time at) const
{
    const auto told = m_toldSoundAt.find(part);
    return told == m_toldSoundAt.end() || at - told->second > soundRepeatInterval;
}

void news_outbox::recordTold(part_id part, absl::Time at)
{
    if (m_toldSoundAt.size() >= loss_table::maxSoundParts)
        m_toldSoundAt.clear();
    m_toldSoundAt[part] = at;
}

void news_outbox::takeInto(quarantine_news &news, const loss_table &evidence, absl::Time now)
{
    for (outgoing_loss &outgoing : m_losses) {
        if (outgoing.nextAt > now || news.losses.size() >= maxLossesPerNews)
            continue;
        target_loss told = outgoing.loss;
        std::stable_sort(told.parts.begin(), told.parts.end(), [&](part_id left, part_id right) {
            return evidence.soundAt(left) < evidence.soundAt(right);
        });
        told.parts.resize(std::min(told.parts.size(), maxPartsPerLoss));
        news.losses.push_back(std::move(told));
        --outgoing.sendsLeft;
        outgoing.nextAt = now + lossRepeatInterval;
    }
    std::erase_if(m_losses, [](const outgoing_loss &loss) { return loss.sendsLeft == 0; });
    while (!m_sound.empty() && news.sound.size() < maxSoundPerNews) {
        const auto first = m_sound.begin();
        news.sound.push_back({.part = first->first, .at = first->second});
        recordTold(first->first, first->second);
        m_sound.erase(first);
    }
}

} // namespace quetzal
