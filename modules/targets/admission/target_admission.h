#pragma once

#include <absl/time/time.h>

#include <deque>
#include <string>

namespace quetzal {

/** A target as the VM list names it. */
struct target_listing
{
    std::string target;
    std::string address;
    std::string service;
    std::string dataCentre;
    bool leaving = false;

    auto operator<=>(const target_listing &) const = default;
};

/** What a target reports about itself; it may lag. */
struct target_load
{
    /** Identifier of this start of the target's process. */
    std::string instance;
    int running = 0;
    int waiting = 0;
    /** Time since the start of the target's process. */
    absl::Duration uptime;
    bool leaving = false;
    /** True while the target itself says that it bears little. */
    bool cold = false;

    bool operator==(const target_load &) const = default;
};

/** What a request or a connection revealed about its target. */
enum class target_evidence
{
    Answered,
    Refused,
    Reset,
    Overloaded,
    Leaving,
    Silent,
};

/** The end of one request, with what is known of its circumstances. */
struct target_observation
{
    target_evidence evidence = target_evidence::Answered;
    /** Instance that the target named; empty when it named none. */
    std::string instance;
    /** When the request was granted; an answer to a request older than the last fall is no proof.
     */
    absl::Time startedAt = absl::InfiniteFuture();
    /** Requests running at the target just before this one ended; -1 when unknown. */
    int running = -1;

    bool operator==(const target_observation &) const = default;
};

/** The states of a target. */
enum class target_phase
{
    /** Not yet heard of; gets a trial request at most. */
    Unknown,
    /** Slow start: the limit grows with good answers. */
    Warming,
    Warm,
    /** Gets no new work; running requests finish. */
    Leaving,
    /** Does not answer; a trial request is allowed after a pause. */
    Unreachable,
};

/** How the limit grows in slow start. */
enum class growth_rule
{
    /** Doubles after as many good answers as the limit. */
    Doubling,
    /** Grows by one after answersPerStep good answers. */
    Stepwise,
};

/** Options of target_admission. */
struct target_admission_options
{
    /** Most concurrent requests when warm. */
    int warmLimit = 8;
    /** Most concurrent requests just after the start. */
    int coldLimit = 1;
    /** Good answers at the present limit that raise it by one step; used by Stepwise only. */
    int answersPerStep = 2;
    /** Pause before the next trial request to an unreachable target. */
    absl::Duration probeInterval = absl::Seconds(1);
    growth_rule growth = growth_rule::Doubling;
    /** Consecutive silent requests that make a target unreachable. */
    int unansweredRequestLimit = 2;
    /** Longest lag of a load report. */
    absl::Duration reportLag = absl::Seconds(5);
    /** Longest lag of the VM list. */
    absl::Duration listLag = absl::Seconds(15);
};

/**
 * Decides how many concurrent requests one target may have.
 *
 * Starts at coldLimit; grows only while answers come back well, the limit was in use and the
 * present instance has reported that it is not cold (or did not report within reportLag); falls to
 * coldLimit at once on a changed instance, a refused or reset connection, or a load report of a
 * fresh start or of coldness. Load reports never raise the limit, and reports and answers of an
 * instance that was replaced are ignored. Leaving holds from its first sign (listing, own report,
 * refusal) until a later sign of the same source, a new instance, or a listing newer than the lag
 * of the list says otherwise.
 */
class target_admission
{
public:
    target_admission(target_listing listing, target_admission_options options, absl::Time now);

    /** A new listing of the same target. */
    void observeListing(const target_listing &listing, absl::Time now);
    /** The target is no longer listed. */
    void observeUnlisted(absl::Time now);
    /** A load report arrived. */
    void observeLoad(const target_load &load, absl::Time now);
    /** A request ended; instance is empty when the target did not name one. */
    void observeEvidence(target_evidence evidence, const std::string &instance, absl::Time now);
    /** A request ended, with its start and the load that it met. */
    void observe(const target_observation &observation, absl::Time now);
    /** Limits changed by a new configuration. */
    void setLimits(int coldLimit, int warmLimit);

    target_phase phase(absl::Time now) const;
    /** Most concurrent requests now; 0 when no new work is allowed. */
    int limit(absl::Time now) const;
    /** True while the target is not known to be warm. */
    bool isCold(absl::Time now) const;
    /** Running requests by the last load report, or -1 when none came lately. */
    int reportedRunning(absl::Time now) const;
    const target_listing &listing() const { return m_listing; }

private:
    bool isLeaving() const;
    bool isRetired(const std::string &instance) const;
    bool acceptInstance(const target_observation &observation, absl::Time now);
    bool acceptInstance(const target_load &load, absl::Time now);
    bool startedLater(const target_load &load, absl::Time now) const;
    bool mayHaveReplaced(const target_load &load, absl::Time now) const;
    bool hasReturned(const target_load &load, absl::Time now) const;
    void startInstance(const std::string &instance, absl::Time now);
    void resetToCold(absl::Time now);
    void observeAnswer(const target_observation &observation, absl::Time now);
    /** True when the present instance said that it is not cold, or does not report at all. */
    bool mayGrow(absl::Time now) const;
    /** True when the answered request ran while the whole limit was in use. */
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
    bool m_reportedLeaving = false;
    bool m_reportedCold = false;
    int m_running = -1;
    std::string m_instance;
    std::deque<std::string> m_retired;
    /** Earliest start of the present instance by its reports. */
    absl::Time m_startEstimate = absl::InfiniteFuture();
    absl::Duration m_lastUptime = -absl::InfiniteDuration();
    absl::Time m_reportAt = absl::InfinitePast();
    absl::Time m_instanceSince = absl::InfinitePast();
    /** Last fall of the limit, and last one within the present instance. */
    absl::Time m_coldResetAt = absl::InfinitePast();
    absl::Time m_instanceColdResetAt = absl::InfinitePast();
    /** When the whole present limit was last seen in use. */
    absl::Time m_limitReachedAt = absl::InfinitePast();
    absl::Time m_reducedAt = absl::InfinitePast();
    /** When a refusal said that the target is leaving. */
    absl::Time m_leavingRefusalAt = absl::InfiniteFuture();
    absl::Time m_unreachableSince = absl::InfiniteFuture();
};

} // namespace quetzal
