#pragma once

#include "routing/request/request_types.h"
#include "targets/admission/target_admission.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** A request as a target executes it. */
struct execution
{
    /** Number of the request in the whole test. */
    std::int64_t request = 0;
    /** Router (its VM and start) that waits for the answer, with its local request id. */
    std::string router;
    request_id localRequest = 0;
    absl::Time startedAt;
    absl::Time endsAt;
    double units = 0.0;

    bool operator==(const execution &) const = default;
};

/** Options of fake_target. */
struct fake_target_options
{
    target_listing listing;
    int slots = 4;
    int coldSlots = 1;
    /** Good answers after which a cold target is warm. */
    int answersUntilWarm = 4;
    absl::Duration loadLag = absl::Milliseconds(300);
};

/** A target in simulated time: slots, cold start, late load reports and an execution log. */
class fake_target
{
public:
    explicit fake_target(fake_target_options options);

    /** Begins to execute a request, or says why not. */
    attempt_result begin(const execution &work, absl::Time now);
    /** Returns and removes the executions that have ended by now. */
    std::vector<execution> finish(absl::Time now);
    /** Restarts the process cold; returns the executions that are lost. */
    std::vector<execution> restart(absl::Time now);
    /** Begins or ends to leave. */
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /** The process refuses connections until it restarts. */
    std::vector<execution> kill();
    /** The load report as it is seen from outside, late; only call while isUp(). */
    target_load load(absl::Time now);

    bool isUp() const { return m_up; }
    bool isCold() const { return m_answers < m_options.answersUntilWarm; }
    bool isLeaving() const { return m_leaving; }
    int running() const { return static_cast<int>(m_running.size()); }
    int slots() const { return isCold() ? m_options.coldSlots : m_options.slots; }
    const target_listing &listing() const { return m_options.listing; }
    std::string instance() const;
    absl::Time startedAt() const { return m_startedAt; }
    /** Requests begun on a cold target that already had as many as it bears. */
    int coldLimitExceeded() const { return m_coldLimitExceeded; }
    /** Time and request of each attempt to begin, also of those refused. */
    const std::vector<std::pair<absl::Time, std::int64_t>> &attempts() const { return m_attempts; }
    const std::vector<execution> &executions() const { return m_running; }

private:
    target_load currentLoad(absl::Time now) const;

    fake_target_options m_options;
    bool m_up = true;
    bool m_leaving = false;
    int m_instance = 1;
    int m_answers = 0;
    int m_coldLimitExceeded = 0;
    absl::Time m_startedAt = absl::UnixEpoch();
    std::vector<execution> m_running;
    std::deque<std::pair<absl::Time, target_load>> m_loads;
    std::vector<std::pair<absl::Time, std::int64_t>> m_attempts;
};

} // namespace quetzal
