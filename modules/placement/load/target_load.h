#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace quetzal {

/** The load that a target reported with an answer. */
struct reported_load
{
    /** The number of requests running at the target. */
    int running = 0;
    /** The number of requests queued at the target. */
    int waiting = 0;
    /** The number of requests that the target processes at once. */
    int slots = 0;
    /** When the report arrived. */
    absl::Time at = absl::InfinitePast();

    bool operator==(const reported_load &) const = default;
};

/**
 * Tracks the outstanding work and the recent failures of one target, as far as this router knows.
 *
 * Work is the time that a request occupies the target before its answer begins. A target that does
 * not begin its answers at the expected time becomes more costly the longer the delay lasts.
 */
class target_load
{
public:
    /**
     * Adds a request that occupies the target for the given work before its answer begins. @param
     * wait the backlog of all routers at the target, which it processes before
     */
    void onSent(std::uint64_t request, absl::Duration wait, absl::Duration work, absl::Time now);
    /** Removes the work of a request whose answer began. */
    void onAnswerBegan(std::uint64_t request);
    /** Removes a request whose exchange ended, with or without success. */
    void onEnded(std::uint64_t request);
    /** Records a failed attempt or a lost answer with its weight in the choice of a target. */
    void onFailure(double weight, absl::Time now);
    /** Stores the load that the target reported. */
    void onReport(const reported_load &report) { m_report = report; }

    /**
     * Returns the remaining work of the requests of this router whose answers have not begun. The
     * work of a request does not decrease before its turn, since the target processes the work of
     * other routers too.
     */
    absl::Duration backlog(absl::Time now) const;
    /** Returns how long the answer to the oldest unanswered request is overdue. */
    absl::Duration overdue(absl::Time now) const;
    /** Returns the sum of the failure weights, each decaying exponentially. */
    double failures(absl::Time now) const;
    /** Returns the number of requests of this router that have not ended. */
    int inFlight() const { return static_cast<int>(m_requests.size()); }
    /** Returns the last reported load. */
    const reported_load &report() const { return m_report; }

private:
    struct sent_request
    {
        absl::Duration work;
        absl::Time expectedAnswerAt;
        bool answerBegan = false;

        absl::Duration remainingWork(absl::Time now) const;
    };

    absl::btree_map<std::uint64_t, sent_request> m_requests;
    reported_load m_report;
    double m_failures = 0.0;
    absl::Time m_failuresAt = absl::InfinitePast();
};

} // namespace quetzal
