#pragma once

#include <absl/time/time.h>

#include <deque>
#include <string>

namespace quetzal {

/** A target's entry in the VM list. */
struct target_listing
{
    std::string target;
    std::string address;
    std::string service;
    std::string dataCentre;
    bool isDraining = false;

    auto operator<=>(const target_listing &) const = default;
};

/** A target's report about itself; it may arrive late. */
struct target_load
{
    /** Identifies one start of the target's process. */
    std::string instance;
    int running = 0;
    int waiting = 0;
    /** Time since the start of the target's process. */
    absl::Duration uptime;
    bool isDraining = false;
    /** True while the target reports that it can serve only few requests. */
    bool cold = false;

    bool operator==(const target_load &) const = default;
};

/** What the end of a request or a connection revealed about its target. */
enum class target_evidence
{
    Answered,
    /** The connection was refused. */
    Refused,
    /** The connection was reset. */
    Reset,
    Overloaded,
    /** The target rejected the request because it is draining. */
    Draining,
    /** The target did not answer in time. */
    Unanswered,
};

/** The end of one request, with what is known about it. */
struct target_observation
{
    target_evidence evidence = target_evidence::Answered;
    /** Instance that the target named; empty if it named none. */
    std::string instance;
    /** Time of the grant; answers to requests from before the last reset to cold do not count. */
    absl::Time startedAt = absl::InfiniteFuture();
    /** Requests running at the target just before this one ended; -1 if unknown. */
    int running = -1;

    bool operator==(const target_observation &) const = default;
};

/** The states of a target. */
enum class target_phase
{
    /** Has not answered since the last reset to cold; receives at most coldLimit requests. */
    Unknown,
    /** Slow start: the limit grows with successful answers. */
    Warming,
    Warm,
    /** Receives no new requests; running ones finish. */
    Draining,
    /** Does not answer; a probe request is allowed after probeInterval. */
    Unreachable,
};

/** How the limit grows in slow start. */
enum class growth_rule
{
    /** Doubles after as many successful answers as the limit. */
    Doubling,
    /** Grows by one after answersPerStep successful answers. */
    Stepwise,
};

/** Options of target_admission. */
struct target_admission_options
{
    /** Maximum concurrent requests of a warm target. */
    int warmLimit = 8;
    /** Maximum concurrent requests just after a start. */
    int coldLimit = 1;
    /** Successful answers at the current limit that raise it by one; used by Stepwise only. */
    int answersPerStep = 2;
    /** Pause before the next probe request to an unreachable target. */
    absl::Duration probeInterval = absl::Seconds(1);
    growth_rule growth = growth_rule::Doubling;
    /** Number of consecutive unanswered requests that make a target unreachable. */
    int unansweredRequestLimit = 2;
    /** Maximum delay of a load report. */
    absl::Duration reportLag = absl::Seconds(5);
    /** Maximum delay of the VM list. */
    absl::Duration listLag = absl::Seconds(15);
};

/**
 * Decides how many concurrent requests one target may have.
 *
 * The limit starts at coldLimit. It grows only while requests succeed, the limit is in use and the
 * current instance has reported that it is not cold (or has sent no report within reportLag). It
 * drops to coldLimit at once when the instance changes, a connection is refused or reset, or a load
 * report shows a restart or a cold target. Load reports never raise the limit, and reports and
 * answers of a replaced instance are ignored.
 *
 * A target counts as draining from the first listing, load report or rejected request that says so,
 * until a later one from the same source, a new instance, or a listing received more than listLag
 * after the rejection contradicts it.
 */
class target_admission
{
public:
    target_admission(target_listing listing, target_admission_options options, absl::Time now);

    /** Processes a new entry of the VM list for the same target. */
    void observeListing(const target_listing &listing, absl::Time now);
    /** Records that the VM list no longer names the target. */
    void observeUnlisted(absl::Time now);
    /** Processes a load report. */
    void observeLoad(const target_load &load, absl::Time now);
    /** Processes the end of a request; instance is empty if the target did not name one. */
    void observeEvidence(target_evidence evidence, const std::string &instance, absl::Time now);
    /** Processes the end of a request, with its start time and the target's load. */
    void observe(const target_observation &observation, absl::Time now);
    /** Applies the limits of a new configuration. */
    void setLimits(int coldLimit, int warmLimit);

    target_phase phase(absl::Time now) const;
    /** Returns the maximum of concurrent requests now; 0 if no new request is allowed. */
    int limit(absl::Time now) const;
    /** True unless the target is known to be warm. */
    bool isCold(absl::Time now) const;
    /** Returns the running requests by the last report, or -1 if it is older than reportLag. */
    int reportedRunning(absl::Time now) const;
    const target_listing &listing() const { return m_listing; }

private:
    bool isDraining() const;
    bool isRetired(const std::string &instance) const;
    /** Switches to the instance if it replaced the current one; false if it is a former one. */
    bool acceptInstance(const target_observation &observation, absl::Time now);
    bool acceptInstance(const target_load &load, absl::Time now);
    /** True if the report shows a start after the current instance's by more than reportLag. */
    bool startedLater(const target_load &load, absl::Time now) const;
    /** True if the reporting instance may have started after the current one. */
    bool mayHaveReplaced(const target_load &load, absl::Time now) const;
    /** True if a former instance restarted, or the current one did not report for 2 reportLag. */
    bool hasReturned(const target_load &load, absl::Time now) const;
    void startInstance(const std::string &instance, absl::Time now);
    void resetToCold(absl::Time now);
    void observeAnswer(const target_observation &observation, absl::Time now);
    /** True if the current instance reported that it is not cold, or sends no reports. */
    bool mayGrow(absl::Time now) const;
    /** True if the answered request ran while the whole limit was in use. */
    bool wasLimitInUse(const target_observation &observation, absl::Time now);
    void observeReset(const target_observation &observation, absl::Time now);
    void observeOverload(const target_observation &observation, absl::Time now);
    void grow();

    target_listing m_listing;
    target_admission_options m_options;
    int m_limit;
    int m_answersSinceGrowth = 0;
    int m_consecutiveUnanswered = 0;
    bool m_answered = false;
    bool m_unlisted = false;
    bool m_isReportedDraining = false;
    bool m_reportedCold = false;
    int m_running = -1;
    std::string m_instance;
    /** The last former instances, the oldest first. */
    std::deque<std::string> m_retired;
    /** Earliest start time of the current instance according to its reports. */
    absl::Time m_startEstimate = absl::InfiniteFuture();
    absl::Duration m_lastUptime = -absl::InfiniteDuration();
    absl::Time m_reportAt = absl::InfinitePast();
    absl::Time m_instanceSince = absl::InfinitePast();
    /** Time of the last reset to the cold limit. */
    absl::Time m_coldResetAt = absl::InfinitePast();
    /** Time of the last reset to cold within the current instance; InfinitePast if there is none.
     */
    absl::Time m_instanceColdResetAt = absl::InfinitePast();
    /** Time at which the whole current limit was last seen in use. */
    absl::Time m_limitReachedAt = absl::InfinitePast();
    absl::Time m_reducedAt = absl::InfinitePast();
    /** Time of the first request that the target rejected because it is draining. */
    absl::Time m_drainingRejectedAt = absl::InfiniteFuture();
    absl::Time m_unreachableSince = absl::InfiniteFuture();
};

} // namespace quetzal
