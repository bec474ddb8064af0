#pragma once

#include <absl/time/time.h>

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

/** Options of target_admission. */
struct target_admission_options
{
    /** Most concurrent requests when warm. */
    int warmLimit = 8;
    /** Most concurrent requests just after the start. */
    int coldLimit = 1;
    /** Good answers at the present limit that raise it by one step. */
    int answersPerStep = 2;
    /** Pause before the next trial request to an unreachable target. */
    absl::Duration trialPause = absl::Seconds(1);
};

/**
 * Decides how many concurrent requests one target may have.
 *
 * Starts at coldLimit; grows only while answers come back well; falls to coldLimit at once on a
 * changed instance, a refused or reset connection, or a load report of a fresh start.
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
    target_listing m_listing;
    target_admission_options m_options;
    int m_limit;
    int m_goodAnswers = 0;
    std::string m_instance;
    bool m_reportedLeaving = false;
    bool m_unlisted = false;
    absl::Time m_unreachableSince = absl::InfiniteFuture();
};

} // namespace quetzal
