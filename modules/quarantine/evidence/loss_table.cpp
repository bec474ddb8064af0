#include "quarantine/evidence/loss_table.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** Routers see the end of one target at different times, as far as they are busy. */
constexpr absl::Duration maxSkew = absl::Seconds(1);
/** How long it is remembered that a part was sound, if memory is short. */
constexpr absl::Duration minSoundMemory = absl::Seconds(60);

} // namespace

bool loss_table::add(const target_loss &loss)
{
    const auto known = m_losses.find(loss.end.target);
    if (known != m_losses.end()) {
        if (loss.end.at < known->second.end.at - maxSkew)
            return false;
        if (loss.end.at > known->second.end.at + maxSkew)
            unlink(loss.end.target);
    }
    if (m_losses.size() >= maxEnds && !m_losses.contains(loss.end.target))
        dropOldest();
    const auto [entry, isNewEnd]
        = m_losses.try_emplace(loss.end.target, recorded_loss {.end = loss.end});
    recorded_loss &recorded = entry->second;
    bool isNews = isNewEnd;
    for (const part_id part : loss.parts) {
        if (recorded.parts.size() >= maxPartsPerEnd || !recorded.parts.insert(part).second)
            continue;
        m_targetsOfPart[part].push_back(loss.end.target);
        isNews = true;
    }
    explain(recorded);
    return isNews;
}

void loss_table::explain(recorded_loss &loss) const
{
    loss.isExplained = std::any_of(m_held.begin(), m_held.end(),
                                   [&](part_id part) { return loss.parts.contains(part); });
}

void loss_table::setHeld(absl::flat_hash_set<part_id> held)
{
    m_held = std::move(held);
    for (auto &[target, loss] : m_losses)
        explain(loss);
}

void loss_table::dropOldest()
{
    const auto oldest = std::min_element(m_losses.begin(), m_losses.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.end.at < right.second.end.at;
                                         });
    if (oldest != m_losses.end())
        unlink(oldest->first);
}

void loss_table::unlink(const target_incarnation &target)
{
    const target_incarnation dropped = target;
    for (const part_id part : partsOf(dropped)) {
        const auto targets = m_targetsOfPart.find(part);
        std::erase(targets->second, dropped);
        if (targets->second.empty())
            m_targetsOfPart.erase(targets);
    }
    m_losses.erase(dropped);
}

void loss_table::discard(const target_incarnation &target)
{
    if (const auto loss = m_losses.find(target); loss != m_losses.end())
        loss->second.isDiscarded = true;
}

void loss_table::markSound(part_id part, absl::Time at)
{
    if (const auto known = m_soundAt.find(part); known != m_soundAt.end()) {
        known->second = std::max(known->second, at);
        return;
    }
    if (m_soundAt.size() >= maxSoundParts)
        absl::erase_if(m_soundAt,
                       [&](const auto &entry) { return entry.second < at - minSoundMemory; });
    if (m_soundAt.size() < maxSoundParts || m_targetsOfPart.contains(part))
        m_soundAt[part] = at;
}

absl::Time loss_table::soundAt(part_id part) const
{
    const auto found = m_soundAt.find(part);
    return found == m_soundAt.end() ? absl::InfinitePast() : found->second;
}

std::vector<target_end> loss_table::endsOf(part_id part, bool withExplained) const
{
    std::vector<target_end> ends;
    const auto targets = m_targetsOfPart.find(part);
    if (targets == m_targetsOfPart.end())
        return ends;
    for (const target_incarnation &target : targets->second) {
        const recorded_loss &loss = m_losses.at(target);
        if (!loss.isDiscarded && (withExplained || !loss.isExplained))
            ends.push_back(loss.end);
    }
    std::sort(ends.begin(), ends.end(), [](const target_end &left, const target_end &right) {
        return std::pair(left.at, left.target) < std::pair(right.at, right.target);
    });
    return ends;
}

std::vector<part_id> loss_table::partsOf(const target_incarnation &target) const
{
    const auto loss = m_losses.find(target);
    if (loss == m_losses.end())
        return {};
    return {loss->second.parts.begin(), loss->second.parts.end()};
}

std::vector<target_end> loss_table::endsBetween(absl::Time from, absl::Time to) const
{
    std::vector<target_end> ends;
    for (const auto &[target, loss] : m_losses) {
        if (!loss.isDiscarded && loss.end.at >= from && loss.end.at <= to)
            ends.push_back(loss.end);
    }
    return ends;
}

std::vector<part_id> loss_table::partsOfSeveralEnds() const
{
    std::vector<part_id> parts;
    for (const auto &[part, targets] : m_targetsOfPart) {
        if (targets.size() > 1)
            parts.push_back(part);
    }
    return parts;
}

} // namespace quetzal
