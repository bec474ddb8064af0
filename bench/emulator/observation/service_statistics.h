#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quetzal::bench {

/** The outcome of one request over all attempts of its caller. */
enum class service_outcome
{
    OnTime,
    Late,
    /** The last attempt was rejected as not executed. */
    Refused,
    Failed,
    /** The caller closed its connection early; the request does not count. */
    Abandoned,
};

/** The record of one finished request. */
struct service_record
{
    std::size_t classIndex = 0;
    std::size_t workspace = 0;
    absl::Time sentAt;
    service_outcome outcome = service_outcome::Failed;
    /** Time to the complete answer, or to the first event of a stream. */
    absl::Duration waited;
    /** The worth of the request if it is answered on time, and what its outcome earned. */
    double attainableWorth = 0.0;
    double earnedWorth = 0.0;
};

/** Sums over a selection of requests, without those that their callers abandoned. */
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
    /** 90th percentile of the waiting times. Only those of requests that earned worth are included.
     */
    absl::Duration p90Wait;

    /** Returns the earned fraction of the attainable worth; 1 if nothing was attainable. */
    double share() const { return attainableWorth > 0.0 ? earnedWorth / attainableWorth : 1.0; }
};

/** Collects the outcomes of all requests and aggregates them. */
class service_statistics
{
public:
    void add(const service_record &record) { m_records.push_back(record); }
    const std::vector<service_record> &records() const { return m_records; }

    service_sum total() const;
    service_sum ofClass(std::size_t classIndex) const;
    service_sum ofWorkspace(std::size_t workspace) const;
    /** Sums the requests for which the predicate is true. */
    service_sum sumIf(const std::function<bool(const service_record &)> &isIncluded) const;
    /** Sums the requests sent in [from, to). */
    service_sum ofWindow(absl::Time from, absl::Time to) const;
    /** Returns the mean share of the tenth of the workspaces with the lowest shares. */
    double worstWorkspacesShare(std::size_t workspaces) const;
    /** Returns the mean of the two lowest shares among consecutive windows of this length. */
    double worstWindowsShare(absl::Time from, absl::Time to, absl::Duration length) const;
    /** Returns the lowest share of any class of requests. */
    double worstClassShare(std::size_t classes) const;

private:
    std::vector<service_record> m_records;
};

} // namespace quetzal::bench
