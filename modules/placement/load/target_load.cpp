#include "placement/load/target_load.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

namespace {

/** The half-life of the weight of a failure. */
constexpr absl::Duration failureHalfLife = absl::Milliseconds(1500);

} // namespace

absl::Duration target_load::backlog() const
{
    absl::Duration sum;
    for (const auto &[id, request] : m_requests) {
        if (!request.answerBegan)
            sum += request.work;
    }
    return sum;
}

void target_load::onSent(std::uint64_t request, absl::Duration work, absl::Time now)
{
    m_busyUntil = std::max(m_busyUntil, now) + work;
    m_requests[request] = {.work = work, .expectedAnswerAt = m_busyUntil};
}

void target_load::onAnswerBegan(std::uint64_t request, absl::Time now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.answerBegan)
        return;
    found->second.answerBegan = true;
    m_busyUntil = std::min(m_busyUntil, now + backlog());
}

void target_load::onEnded(std::uint64_t request, absl::Time now)
{
    m_requests.erase(request);
    m_busyUntil = std::min(m_busyUntil, now + backlog());
}

void target_load::onFailure(double weight, absl::Time now)
{
    m_failures = failures(now) + weight;
    m_failuresAt = now;
}

absl::Duration target_load::overdue(absl::Time now) const
{
    for (const auto &[id, request] : m_requests) {
        if (!request.answerBegan)
            return std::max(now - request.expectedAnswerAt, absl::ZeroDuration());
    }
    return absl::ZeroDuration();
}

double target_load::failures(absl::Time now) const
{
    if (m_failures == 0.0)
        return 0.0;
    return m_failures * std::exp2(-absl::FDivDuration(now - m_failuresAt, failureHalfLife));
}

} // namespace quetzal
