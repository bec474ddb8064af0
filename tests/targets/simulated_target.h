#pragma once

#include "foundation/foundation.h"
#include "targets/targets.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzal {

/**
 * One target that restarts, leaves and reports with a lag, together with a sender that always uses
 * the whole limit; the oracle knows what was shown of the target and checks the limit against it.
 */
class simulated_target
{
public:
    simulated_target(target_admission_options options, std::uint64_t seed);

    /** Lets simulated time pass; stops early at a violation. */
    void run(absl::Duration duration);
    const std::string &violation() const { return m_violation; }

    /** Starts another instance; the requests of the former one are reset, or never answered. */
    void restart(bool resetsConnections);
    void setDown(bool down);
    /** Requests are not answered while this holds. */
    void setHung(bool hung) { m_hung = hung; }
    void setLeaving(bool leaving);
    void setListedLeaving(bool leaving);
    /** Delivers every report with this lag. */
    void setReportLag(absl::Duration lag) { m_reportLag = lag; }
    /** How long an instance bears its cold limit only, and says so. */
    void setColdTime(absl::Duration time) { m_coldTime = time; }
    bool isCold() const { return m_now < m_startedAt + m_coldTime; }
    void setAnswerDelay(absl::Duration delay) { m_answerDelay = delay; }

    target_admission &admission() { return m_admission; }
    int limit() const { return m_admission.limit(m_now); }
    target_phase phase() const { return m_admission.phase(m_now); }
    absl::Time now() const { return m_now; }
    /** The longest time for which a target that was up and not leaving had a limit of 0. */
    absl::Duration longestIdle() const { return m_longestIdle; }
    /** Answers of the present instance so far, and requests that run at present. */
    int answered() const { return m_provenAnswers; }
    int running() const { return static_cast<int>(m_running.size()); }
    /** Most requests that ran at once on an instance within its first second. */
    int maxConcurrentOnFresh() const { return m_maxConcurrentOnFresh; }

private:
    struct running_request
    {
        int instance = 0;
        absl::Time startedAt;
        absl::Time endsAt;
    };

    void step();
    void endRequests();
    void startRequests();
    void sendReport();
    void deliver(absl::Duration delay, std::function<void()> handle);
    void deliverEnd(const running_request &request, target_evidence evidence, bool named,
                    absl::Duration delay);
    void check();
    /** Most that the present instance can be known to bear. */
    int provenLimit() const;
    std::string instanceName(int instance) const { return "instance-" + std::to_string(instance); }

    target_admission_options m_options;
    random_source m_random;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
    target_admission m_admission;
    std::vector<running_request> m_running;
    std::multimap<absl::Time, std::function<void()>> m_events;
    int m_instance = 1;
    absl::Time m_startedAt;
    absl::Time m_reportedAt = absl::InfinitePast();
    absl::Duration m_reportLag = absl::Milliseconds(500);
    absl::Duration m_answerDelay = absl::Milliseconds(5);
    absl::Duration m_coldTime;
    bool m_down = false;
    bool m_hung = false;
    bool m_leaving = false;
    bool m_instanceRevealed = true;
    bool m_leavingRevealed = false;
    int m_provenAnswers = 0;
    absl::Time m_disturbedAt = absl::InfinitePast();
    absl::Time m_idleSince = absl::InfiniteFuture();
    absl::Duration m_longestIdle;
    int m_maxConcurrentOnFresh = 0;
    std::string m_violation;
};

} // namespace quetzal
