#include "placement/load/target_load.h"

#include <algorithm>
#include <cmath>

namespace quetzal {

namespace {

/** The half-life of the weight of a failure. */
constexpr absl::Duration failureHalfLife = absl::Milliseconds(1500);
/** A request counts at least this part of its work until its answer begins. */
constexpr double minRemainingFraction = 0.5;

} // namespace

absl::Duration target_load::sent_request::remainingWork(absl::Time now) const
{
    if (answerBegan)
        return absl::ZeroDuration();
    const absl::Duration untilAnswer = expectedAnswerAt - now;
    return std::clamp(untilAnswer, work * minRemainingFraction, work);
}

absl::Duration target_load::backlog(absl::Time now) const
{
    absl::Duration sum;
    for (const auto &[id, request] : m_requests)
        sum += request.remainingWork(now);
    return sum;
}

void target_load::onSent(std::uint64_t request, absl::Duration wait, absl::Duration work,
                         absl::Time now)
{
    m_requests[request] = {.work = work, .expectedAnswerAt = now + wait + work};
}

void target_load::onAnswerBegan(std::uint64_t request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end())
        found->second.answerBegan = true;
}

void target_load::onEnded(std::uint64_t request)
{
    m_requests.erase(request);
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
