#include "exchange/digest/quarantine_rows.h"

#include "foundation/json/bounded_document.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

constexpr std::int64_t maxStartMs = std::int64_t {1} << 53U;
constexpr std::int64_t maxTrials = 1000000;

} // namespace

std::int64_t ageMs(absl::Time at, absl::Time madeAt)
{
    const std::int64_t age = absl::ToInt64Milliseconds(madeAt - at);
    return std::clamp<std::int64_t>(age, 0, maxAgeMs);
}

absl::Time readAge(const nlohmann::json &value)
{
    return absl::UnixEpoch() - absl::Milliseconds(wholeNumber(value, 0, maxAgeMs).value());
}

nlohmann::json toRow(const target_end &end, absl::Time madeAt)
{
    return nlohmann::json::array(
        {end.target.target, end.target.startedAtMs, end.address, ageMs(end.at, madeAt)});
}

target_end readEnd(const nlohmann::json &row)
{
    return {.target = {.target = unsignedNumber(row.at(0)).value(),
                       .startedAtMs = wholeNumber(row.at(1), -maxStartMs, maxStartMs).value()},
            .address = unsignedNumber(row.at(2)).value(),
            .at = readAge(row.at(3))};
}

nlohmann::json toRow(const held_part &held, absl::Time madeAt)
{
    nlohmann::json ends = nlohmann::json::array();
    for (const target_end &end : held.ends)
        ends.push_back(toRow(end, madeAt));
    const std::int64_t trialAge = held.trials > 0 ? ageMs(held.lastTrialAt, madeAt) : 0;
    return nlohmann::json::array(
        {held.part, ageMs(held.since, madeAt), std::move(ends), held.trials, trialAge});
}

held_part readHeld(const nlohmann::json &row)
{
    held_part held {.part = unsignedNumber(row.at(0)).value(), .since = readAge(row.at(1))};
    for (const nlohmann::json &end : row.at(2))
        held.ends.push_back(readEnd(end));
    held.trials = static_cast<int>(wholeNumber(row.at(3), 0, maxTrials).value());
    if (held.trials > 0)
        held.lastTrialAt = readAge(row.at(4));
    return held;
}

} // namespace quetzal
