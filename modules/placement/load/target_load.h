#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace quetzal {

/** A target's report of its own load, as it came with an answer. */
struct reported_load
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    absl::Time at = absl::InfinitePast();

    bool operator==(const reported_load &) const = default;
};

/**
 * The work that one target still has to do, as far as this router knows.
 *
 * Work is the time that a request occupies the target before its answer begins. A target that does
 * not begin its answers in the expected time becomes dearer with every moment.
 */
class target_load
{
public:
    /** A request was sent; work: how long the target will be occupied before it answers. */
    void onSent(std::uint64_t request, absl::Duration work, absl::Time now);
    /** The answer to a request began. */
    void onAnswerBegan(std::uint64_t request, absl::Time now);
    /** The exchange is over, well or not. */
    void onEnded(std::uint64_t request, absl::Time now);
    /** A send failed, or an answer was lost; weight: how much it speaks against the target. */
    void onFailure(double weight, absl::Time now);
    void onReport(const reported_load &report) { m_report = report; }

    /** How long the work that this router sent and that waits will take from now. */
    absl::Duration backlog(absl::Time now) const;
    /** How long the oldest request without an answer is overdue. */
    absl::Duration overdue(absl::Time now) const;
    /** Failures of the last seconds, each fading out. */
    double failures(absl::Time now) const;
    /** Requests of this router that are not over. */
    int inFlight() const { return static_cast<int>(m_requests.size()); }
    const reported_load &report() const { return m_report; }

private:
    struct sent_request
    {
        absl::Duration work;
        absl::Time expectedAnswerAt;
        bool answerBegan = false;
    };

    absl::Duration unansweredWork() const;

    absl::btree_map<std::uint64_t, sent_request> m_requests;
    absl::Time m_busyUntil = absl::InfinitePast();
    reported_load m_report;
    double m_failures = 0.0;
    absl::Time m_failuresAt = absl::InfinitePast();
};

} // namespace quetzal
