#include "quarantine/decision/quarantine_rule.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <iterator>

namespace quetzal {

namespace {

/** Divides ends into those that begin a separate moment and the others. */
struct divided_ends
{
    std::vector<target_end> first;
    std::vector<target_end> others;
};

divided_ends divide(std::span<const target_end> ends, const quarantine_limits &limits)
{
    divided_ends divided;
    for (const target_end &end : ends) {
        const bool isFirst
            = divided.first.empty() || end.at - divided.first.back().at >= limits.momentSpacing;
        (isFirst ? divided.first : divided.others).push_back(end);
    }
    return divided;
}

int addressCount(std::span<const target_end> ends)
{
    absl::flat_hash_set<std::uint64_t> addresses;
    for (const target_end &end : ends)
        addresses.insert(end.address);
    return static_cast<int>(addresses.size());
}

/** Returns how many separate moments it takes to hold a part. @param ends not empty */
int requiredMoments(std::span<const target_end> ends, absl::Time soundAt,
                    const quarantine_limits &limits)
{
    const int addresses = addressCount(ends);
    int required = addresses >= limits.manyTargets ? limits.momentsOfManyTargets : limits.moments;
    if (ends.front().at - soundAt < limits.soundMemory)
        required += limits.extraMomentsOfSoundPart;
    if (addresses == 1)
        required = std::max(required, limits.momentsAtOneAddress);
    return required;
}

} // namespace

std::vector<target_end> endsSince(std::span<const target_end> ends, absl::Time soundAt,
                                  const quarantine_limits &limits)
{
    std::vector<target_end> since;
    if (ends.empty())
        return since;
    const absl::Time from = std::max(soundAt, ends.back().at - limits.maxAge);
    std::copy_if(ends.begin(), ends.end(), std::back_inserter(since),
                 [&](const target_end &end) { return end.at > from; });
    return since;
}

int momentCount(std::span<const target_end> ends, const quarantine_limits &limits)
{
    return static_cast<int>(divide(ends, limits).first.size());
}

bool mustHold(std::span<const target_end> ends, absl::Time soundAt, const quarantine_limits &limits)
{
    return !ends.empty() && momentCount(ends, limits) >= requiredMoments(ends, soundAt, limits);
}

bool isNearlyHeld(std::span<const target_end> ends, absl::Time soundAt,
                  const quarantine_limits &limits)
{
    constexpr int minMoments = 2;
    const int moments = momentCount(ends, limits);
    return moments >= minMoments && addressCount(ends) > 1
        && moments + 1 >= requiredMoments(ends, soundAt, limits);
}

std::vector<target_end> mostTellingEnds(std::span<const target_end> ends, std::size_t maxCount,
                                        const quarantine_limits &limits)
{
    divided_ends divided = divide(ends, limits);
    std::vector<target_end> chosen = std::move(divided.first);
    if (chosen.size() > maxCount)
        chosen.erase(chosen.begin(), chosen.end() - static_cast<std::ptrdiff_t>(maxCount));
    absl::flat_hash_set<std::uint64_t> addresses;
    for (const target_end &end : chosen)
        addresses.insert(end.address);
    for (const target_end &end : divided.others) {
        if (chosen.size() < maxCount && addresses.insert(end.address).second)
            chosen.push_back(end);
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const target_end &left, const target_end &right) { return left.at < right.at; });
    return chosen;
}

} // namespace quetzal
