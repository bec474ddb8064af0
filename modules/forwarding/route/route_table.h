#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** What may be repeated on a route. */
enum class request_kind
{
    /** Idempotent: may run more than once. */
    Idempotent,
    /** May run once at most. */
    NonIdempotent,
    /** A stream of events, which may run once at most unless it can be resumed. */
    Stream,
};

/** A service with its part of a route's requests. */
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
    /** The longest time that a request may wait for its final answer. */
    absl::Duration timeout = absl::Seconds(30);
    /** The time to the answer, or to a stream's first event, that callers aim at. */
    absl::Duration latencyObjective = absl::Seconds(1);
    /** The number of targets that one request may run on. */
    int maxAttempts = 1;
    /** True when no key is asked for. */
    bool isPublic = false;
    /** True when a broken stream may go on at another target. */
    bool isResumable = false;

    /** True when a request may run more than once. */
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
    /** Connections that one target accepts from all routers together; 0 for no limit. */
    int maxConnections = 0;
    /** How long a target that has started is cold. */
    absl::Duration coldStart;
    /** Requests a second that a cold target bears. */
    double coldRequestsPerSecond = 0.0;
    /** Tokens that the prompt cache of a model engine holds; 0 for a plain service. */
    std::int64_t promptCacheTokens = 0;

    bool isModelEngine() const { return promptCacheTokens > 0; }
    bool operator==(const service_description &) const = default;
};

/** What callers may send. */
struct caller_limits
{
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 1048576;
    absl::Duration headTimeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::Seconds(30);
    /** Tokens that all model engines process in a second, read tokens once, made ones twice. */
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
    /** Workspace by API key. */
    absl::flat_hash_map<std::string, std::string> workspaceOfKey;
    /** False when requests carry no keys at all. */
    bool hasWorkspaces = false;
};

/** The routes, services and keys of one version of the configuration. */
class route_table
{
public:
    explicit route_table(route_table_options options);

    std::int64_t version() const { return m_options.version; }
    const caller_limits &limits() const { return m_options.limits; }
    const std::vector<service_description> &services() const { return m_options.services; }
    bool hasWorkspaces() const { return m_options.hasWorkspaces; }

    /** The route of this host with the longest prefix that begins the path; null when none does. */
    const route *find(std::string_view host, std::string_view path) const;
    /** The service of this name; null when there is none. */
    const service_description *service(const std::string &name) const;
    /** The workspace that holds a key; null when nobody does. */
    const std::string *workspaceOf(const std::string &key) const;

private:
    route_table_options m_options;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_routesOfHost;
};

/** The service of a route for one request; requests are split by their identifiers. */
const std::string &serviceFor(const route &route, std::string_view requestId);

} // namespace quetzal
