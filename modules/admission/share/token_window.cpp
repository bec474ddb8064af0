#include "admission/share/token_window.h"

namespace quetzal {

namespace {

std::int64_t stepNumber(absl::Time now)
{
    return (now - absl::UnixEpoch()) / token_window::step;
}

} // namespace

void token_window::add(std::int64_t tokens, absl::Time now)
{
    const std::int64_t number = stepNumber(now);
    slot &entry = m_slots[static_cast<std::size_t>(number) % steps];
    if (entry.number != number)
        entry = {.number = number};
    entry.tokens += tokens;
}

std::int64_t token_window::sum(absl::Time now) const
{
    const std::int64_t number = stepNumber(now);
    std::int64_t total = 0;
    for (const slot &entry : m_slots) {
        if (entry.number > number - static_cast<std::int64_t>(steps))
            total += entry.tokens;
    }
    return total;
}

} // namespace quetzal
