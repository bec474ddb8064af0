#include "fleet/fleet_model.h"

#include <algorithm>

namespace quetzal {

namespace {

/** Delay of a request between router and target. */
constexpr absl::Duration attemptDelay = absl::Milliseconds(1);

} // namespace

void fleet_model::dispatch(int vm, const dispatch_request &dispatch)
{
    const std::int64_t number = m_localRequests.at({routerKey(vm), dispatch.request});
    const std::int64_t start = m_routers[vm].starts;
    at(m_now + attemptDelay,
       [this, vm, start, dispatch, number] { beginExecution(vm, start, dispatch, number); });
}

void fleet_model::beginExecution(int vm, std::int64_t start, const dispatch_request &dispatch,
                                 std::int64_t request)
{
    const bool routerAlive = m_routers[vm].node && m_routers[vm].starts == start;
    if (!routerAlive)
        return;
    if (m_routers[vm].paused) {
        at(m_now + fleetStepLength,
           [this, vm, start, dispatch, request] { beginExecution(vm, start, dispatch, request); });
        return;
    }
    const auto target
        = std::find_if(m_targets.begin(), m_targets.end(), [&dispatch](const fake_target &item) {
              return item.listing().target == dispatch.target;
          });
    request_record &record = m_requests.at(request);
    const absl::Duration length = absl::Seconds(record.cost / fleetUnitsPerSecond);
    const attempt_result begun = target->begin({.request = request,
                                                .router = routerKey(vm),
                                                .localRequest = dispatch.request,
                                                .startedAt = m_now,
                                                .endsAt = m_now + length,
                                                .units = record.cost},
                                               m_now);
    if (begun.ending != attempt_ending::Completed)
        return endAttempt(vm, start, dispatch.request, begun);
    if (m_options.answeredRequests)
        m_served[record.workspace] += 1.0;
    if (record.executions++ == 0)
        --m_waiting[{vm, record.workspace}];
}

void fleet_model::endAttempt(int vm, std::int64_t start, request_id request,
                             const attempt_result &result)
{
    if (!m_routers[vm].node || m_routers[vm].starts != start)
        return;
    if (m_routers[vm].paused) {
        at(m_now + fleetStepLength,
           [this, vm, start, request, result] { endAttempt(vm, start, request, result); });
        return;
    }
    m_routers[vm].node->onAttemptEnded(request, result, m_now);
    takeRouterActions(vm);
}

void fleet_model::loseExecutions(const std::vector<execution> &lost)
{
    for (const execution &item : lost) {
        const std::size_t slash = item.router.find('/');
        const int vm = vmIndex(item.router.substr(0, slash));
        const std::int64_t start = std::stoll(item.router.substr(slash + 1));
        const attempt_result result {.ending = attempt_ending::LostBeforeAnswer,
                                     .signal = protocol::target_signal::ConnectionReset};
        at(m_now,
           [this, vm, start, item, result] { endAttempt(vm, start, item.localRequest, result); });
    }
}

void fleet_model::finishExecutions()
{
    for (int index = 0; index < targetCount(); ++index) {
        fake_target &target = m_targets[index];
        for (const execution &item : target.finish(m_now)) {
            request_record &record = m_requests.at(item.request);
            ++record.completeExecutions;
            m_served[record.workspace] += m_options.answeredRequests ? 0.0 : item.units;
            const std::size_t slash = item.router.find('/');
            const int vm = vmIndex(item.router.substr(0, slash));
            const std::int64_t start = std::stoll(item.router.substr(slash + 1));
            attempt_result result {.ending = attempt_ending::Completed,
                                   .units = item.units,
                                   .targetInstance = target.instance()};
            if (m_lostAnswers[index] > 0) {
                --m_lostAnswers[index];
                result = {.ending = attempt_ending::LostBeforeAnswer,
                          .signal = protocol::target_signal::ConnectionReset};
            }
            at(m_now, [this, vm, start, item, result] {
                endAttempt(vm, start, item.localRequest, result);
            });
        }
    }
}

} // namespace quetzal
