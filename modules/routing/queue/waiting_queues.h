#pragma once

#include "foundation/errors/result_code.h"
#include "routing/request/request_types.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** Limits of one workspace's waiting requests at this router. */
struct queue_limits
{
    int requests = 200;
    std::int64_t bytes = 16 * 1024 * 1024;

    bool operator==(const queue_limits &) const = default;
};

/** The state of one workspace's queue for one service. */
struct queue_summary
{
    std::string workspace;
    int waiting = 0;
    std::string headKind;
    double headHint = 0.0;
    absl::Time headSince;

    bool operator==(const queue_summary &) const = default;
};

/**
 * First-in first-out queues of waiting requests, one for each service and workspace.
 *
 * Rejects a request if its workspace or the whole router is at its limit, so that a workspace that
 * floods the router takes no queue capacity from others.
 */
class waiting_queues
{
public:
    /** maxRequests limits the waiting requests of all workspaces together. */
    explicit waiting_queues(int maxRequests);

    /** Appends a request; returns Ok, WorkspaceQueueFull or RouterQueueFull. */
    result_code push(const request_description &request, const queue_limits &limits,
                     absl::Time now);
    /** Puts a request that was accepted before back at the head, regardless of limits. */
    void pushFront(const request_description &request, absl::Time now);
    /** Removes and returns the head, or returns nullopt if the queue is empty. */
    std::optional<request_description> pop(const std::string &service,
                                           const std::string &workspace);
    /** Removes a request from its queue; false if it is not waiting. */
    bool remove(request_id request);
    /** Removes and returns every request whose deadline has passed. */
    std::vector<request_description> popExpired(absl::Time now);
    /** Removes and returns every request. */
    std::vector<request_description> popAll();

    int size() const { return m_size; }
    /** Returns the non-empty queues of a service, ordered by workspace. */
    std::vector<queue_summary> summaries(const std::string &service) const;
    /** Returns the services that have waiting requests. */
    std::vector<std::string> services() const;

private:
    struct entry
    {
        request_description request;
        absl::Time since;
    };
    struct usage
    {
        int requests = 0;
        std::int64_t bytes = 0;
    };
    using queue = std::deque<entry>;

    void updateUsage(const request_description &request, int sign);
    template <typename Predicate>
    std::vector<request_description> extract(Predicate isWanted);

    int m_maxRequests;
    int m_size = 0;
    std::map<std::string, std::map<std::string, queue>> m_queues;
    absl::flat_hash_map<std::string, usage> m_usage;
};

} // namespace quetzal
