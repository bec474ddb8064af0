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

/** The execution of a request at a target. */
struct execution
{
    /** Number of the request, unique in the test. */
    std::int64_t request = 0;
    /** The router that waits for the answer, as "vm/start", and its local request id. */
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
    /** Number of complete answers after which a cold target is warm. */
    int answersUntilWarm = 4;
    /** Age of the load reports. */
    absl::Duration loadLag = absl::Milliseconds(300);
};

/**
 * A target in simulated time with slots, a cold start, delayed load reports and a log of attempts.
 */
class fake_target
{
public:
    explicit fake_target(fake_target_options options);

    /** Starts to execute a request, or returns why it is rejected. */
    attempt_result begin(const execution &work, absl::Time now);
    /** Removes and returns the executions that have ended by now. */
    std::vector<execution> finish(absl::Time now);
    /** Restarts the process, which is then cold. Returns the lost executions. */
    std::vector<execution> restart(absl::Time now);
    /** Starts or stops draining. A draining target rejects new requests. */
    void setDraining(bool draining) { m_draining = draining; }
    /** Makes the process refuse connections until it restarts. Returns the lost executions. */
    std::vector<execution> kill();
    /** Returns the load report of loadLag ago. Call this only while isUp() is true. */
    target_load load(absl::Time now);

    bool isUp() const { return m_up; }
    bool isCold() const { return m_answers < m_options.answersUntilWarm; }
    bool isDraining() const { return m_draining; }
    int running() const { return static_cast<int>(m_running.size()); }
    int slots() const { return isCold() ? m_options.coldSlots : m_options.slots; }
    const target_listing &listing() const { return m_options.listing; }
    std::string instance() const;
    absl::Time startedAt() const { return m_startedAt; }
    /** Number of requests started while the target was cold and its cold slots were all in use. */
    int coldLimitExceeded() const { return m_coldLimitExceeded; }
    /** Time and request of each attempt, including the rejected ones. */
    const std::vector<std::pair<absl::Time, std::int64_t>> &attempts() const { return m_attempts; }
    const std::vector<execution> &executions() const { return m_running; }

private:
    target_load currentLoad(absl::Time now) const;

    fake_target_options m_options;
    bool m_up = true;
    bool m_draining = false;
    int m_instance = 1;
    int m_answers = 0;
    int m_coldLimitExceeded = 0;
    absl::Time m_startedAt = absl::UnixEpoch();
    std::vector<execution> m_running;
    std::deque<std::pair<absl::Time, target_load>> m_loads;
    std::vector<std::pair<absl::Time, std::int64_t>> m_attempts;
};

} // namespace quetzal
