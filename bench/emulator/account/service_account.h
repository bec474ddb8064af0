#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quetzal::bench {

/** What became of one request, over all attempts of its caller. */
enum class service_outcome
{
    OnTime,
    Late,
    /** Rejected as not run, to the last. */
    Refused,
    Failed,
    /** The caller left of its own accord; not owed. */
    Abandoned,
};

/** One request at its end. */
struct service_record
{
    std::size_t classIndex = 0;
    std::size_t workspace = 0;
    absl::Time sentAt;
    service_outcome outcome = service_outcome::Failed;
    /** Until the answer, or a stream's first event. */
    absl::Duration waited;
    /** What it is worth on time, and what it earned. */
    double attainableWorth = 0.0;
    double earnedWorth = 0.0;
};

/** Sums over some of the requests. */
struct service_sum
{
    std::int64_t requests = 0;
    std::int64_t onTime = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    double attainableWorth = 0.0;
    double earnedWorth = 0.0;
    absl::Duration medianWait;
    absl::Duration slowestTenthWait;

    /** The part of the owed worth that was earned; 1 when nothing was owed. */
    double share() const { return attainableWorth > 0.0 ? earnedWorth / attainableWorth : 1.0; }
};

/** What all callers got. */
class service_account
{
public:
    void add(const service_record &record) { m_records.push_back(record); }
    const std::vector<service_record> &records() const { return m_records; }

    service_sum total() const;
    service_sum ofClass(std::size_t classIndex) const;
    service_sum ofWorkspace(std::size_t workspace) const;
    /** Of the requests for which this is true. */
    service_sum sumIf(const std::function<bool(const service_record &)> &isIncluded) const;
    /** Of the requests sent within a window. */
    service_sum ofWindow(absl::Time from, absl::Time to) const;
    /** The mean share of the tenth of the workspaces that got the least of what they were owed. */
    double worstWorkspacesShare(std::size_t workspaces) const;
    /** The mean of the two least shares of windows of this length. */
    double worstWindowsShare(absl::Time from, absl::Time to, absl::Duration length) const;
    double worstClassShare(std::size_t classes) const;

private:
    std::vector<service_record> m_records;
};

} // namespace quetzal::bench
