#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** Whether requests of a route may be retried after they may have run. */
enum class request_kind
{
    /** A request may run more than once. */
    Idempotent,
    /** A request may run at most once. */
    NonIdempotent,
    /** An event stream, which may run at most once unless it is resumable. */
    Stream,
};

/** A service and its share of a route's requests. */
struct weighted_service
{
    std::string service;
    double weight = 1.0;

    bool operator==(const weighted_service &) const = default;
};

/** One route of the configuration. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    request_kind kind = request_kind::NonIdempotent;
    std::vector<weighted_service> services;
    /** The maximum time until the final answer to a request. */
    absl::Duration timeout = absl::Seconds(30);
    /** The intended time to the answer, or to the first event of a stream. */
    absl::Duration latencyObjective = absl::Seconds(1);
    /** The maximum number of targets that one request may run on. */
    int maxAttempts = 1;
    /** True if requests need no API key. */
    bool isPublic = false;
    /** True if a broken stream may continue at another target. */
    bool isResumable = false;

    /** True if a request may run more than once. */
    bool isRepeatable() const
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Stream && isResumable);
    }
    bool operator==(const route &) const = default;
};

/** One service of the configuration. */
struct service_description
{
    std::string name;
    /**
     * The number of connections that a target accepts from all routers together; 0 for no limit.
     */
    int maxConnections = 0;
    /** How long a target is cold after it started. */
    absl::Duration coldStart;
    /** Requests per second that a cold target can serve. */
    double coldRequestsPerSecond = 0.0;
    /** The capacity of a model engine's prompt cache in tokens; 0 for a plain service. */
    std::int64_t promptCacheTokens = 0;

    bool isModelEngine() const { return promptCacheTokens > 0; }
    bool operator==(const service_description &) const = default;
};

/** Limits on what callers send. */
struct caller_limits
{
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 1048576;
    absl::Duration headTimeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::Seconds(30);
    /**
     * The capacity of all model engines in tokens per second; prompt tokens count once, output
     * tokens twice.
     */
    double tokensPerSecond = 0.0;

    bool operator==(const caller_limits &) const = default;
};

/** The parts of a configuration from which a route table is built. */
struct route_table_options
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service_description> services;
    caller_limits limits;
    /** The workspace of each API key. */
    absl::flat_hash_map<std::string, std::string> workspaceOfKey;
    /** False if requests carry no API keys at all. */
    bool hasWorkspaces = false;
};

/** The routes, services and keys of one version of the configuration. */
class route_table
{
public:
    explicit route_table(route_table_options options);

    /** Returns the version of the configuration. */
    std::int64_t version() const { return m_options.version; }
    const caller_limits &limits() const { return m_options.limits; }
    const std::vector<service_description> &services() const { return m_options.services; }
    bool hasWorkspaces() const { return m_options.hasWorkspaces; }

    /**
     * Returns the route of the host with the longest matching path prefix; null if there is none.
     */
    const route *find(std::string_view host, std::string_view path) const;
    /** Returns the service of this name; null if there is none. */
    const service_description *service(const std::string &name) const;
    /** Returns the workspace of an API key; null if the key is unknown. */
    const std::string *workspaceOf(const std::string &key) const;

private:
    route_table_options m_options;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routesOfHost;
};

/** Returns the service of a route for one request; requests are split by their identifiers. */
const std::string &serviceFor(const route &route, std::string_view requestId);

} // namespace quetzal
