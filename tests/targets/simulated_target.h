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
 * Simulates a target that restarts, leaves and reports with a delay, together with a sender that
 * always uses the whole limit. Tracks what the target has revealed about itself and checks the
 * limit against it.
 */
class simulated_target
{
public:
    simulated_target(target_admission_options options, std::uint64_t seed);

    /** Advances simulated time; stops early at a violation. */
    void run(absl::Duration duration);
    /** Returns the last violation found, or an empty text. */
    const std::string &violation() const { return m_violation; }

    /** Starts a new instance; requests to the former one are reset, or never answered. */
    void restart(bool resetsConnections);
    void setDown(bool down);
    /** While hung, the target answers no requests. */
    void setHung(bool hung) { m_hung = hung; }
    void setDraining(bool isDraining);
    void setListedDraining(bool isDraining);
    /** Sets the maximum delay of reports; each is delayed by half of it or more. */
    void setReportLag(absl::Duration lag) { m_reportLag = lag; }
    /** Sets how long a new instance is cold, and reports that it is. */
    void setColdTime(absl::Duration time) { m_coldTime = time; }
    bool isCold() const { return m_now < m_startedAt + m_coldTime; }
    void setAnswerDelay(absl::Duration delay) { m_answerDelay = delay; }

    target_admission &admission() { return m_admission; }
    int limit() const { return m_admission.limit(m_now); }
    target_phase phase() const { return m_admission.phase(m_now); }
    absl::Time now() const { return m_now; }
    /** Returns the longest time that a running target that is not draining had a limit of 0. */
    absl::Duration longestIdle() const { return m_longestIdle; }
    /** Returns the number of answers of the current instance so far. */
    int answered() const { return m_answerCount; }
    /** Returns the number of requests that are running. */
    int running() const { return static_cast<int>(m_running.size()); }
    /** Returns the maximum of concurrent requests on an instance within its first second. */
    int maxConcurrentOnNewInstance() const { return m_maxConcurrentOnNewInstance; }

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
    /** Returns the highest limit that the current instance's answers justify. */
    int maxAllowedLimit() const;
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
    bool m_isDraining = false;
    bool m_instanceRevealed = true;
    bool m_isDrainingRevealed = false;
    int m_answerCount = 0;
    absl::Time m_disturbedAt = absl::InfinitePast();
    absl::Time m_idleSince = absl::InfiniteFuture();
    absl::Duration m_longestIdle;
    int m_maxConcurrentOnNewInstance = 0;
    std::string m_violation;
};

} // namespace quetzal
