#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The kind of back end that serves a service. */
enum class service_kind
{
    /** Targets that run the models of the service. */
    Model,
    /** Targets that answer ordinary HTTP calls; the service's call rules classify them. */
    Plain,
};

/** The unit in which the amount served to a workspace is measured. */
enum class service_unit
{
    /** Generated tokens. */
    Tokens,
    /** Completely answered requests, each counted with the weight of its kind. */
    AnsweredRequests,
};

/** Whether the operators allow new work in a data centre. */
enum class data_centre_state
{
    In,
    Out,
};

/** A data centre and its operational state. */
struct data_centre_definition
{
    std::string name;
    data_centre_state state = data_centre_state::In;

    bool operator==(const data_centre_definition &) const = default;
};

/** A kind of request and its cost in the unit of its service. */
struct request_kind
{
    std::string name;
    double weight = 1.0;

    bool operator==(const request_kind &) const = default;
};

/**
 * Classifies the calls of a plain service by method and path prefix. The first matching rule of the
 * service applies.
 */
struct call_rule
{
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
    /** Name of a request_kind of the same service; empty for the default weight of 1. */
    std::string requestKind;

    bool operator==(const call_rule &) const = default;
};

/** A service that several workspaces share. */
struct service_definition
{
    std::string name;
    service_kind kind = service_kind::Model;
    service_unit unit = service_unit::Tokens;
    std::vector<std::string> models;
    std::vector<request_kind> requestKinds;
    std::vector<call_rule> calls;
    /** Number of shards into which the targets of each data centre are divided. */
    int shardsPerDataCentre = 1;
    /** Maximum number of concurrent requests at a warm target. */
    int slotsPerTarget = 8;
    /** Maximum number of concurrent requests at a cold target, one that has just started. */
    int coldSlotsPerTarget = 1;
    /** Maximum cost of one request in the unit of the service; estimates do not exceed it. */
    double largestRequest = 4096.0;
    /** True if the targets of this service reject orders with an outdated fencing number. */
    bool targetsCheckFencing = false;

    bool operator==(const service_definition &) const = default;
};

/** Limits on the resources that one workspace may occupy at one router. */
struct workspace_limits
{
    /** Maximum number of queued requests. */
    int waitingRequests = 200;
    /** Maximum number of buffered bytes. */
    std::int64_t bufferedBytes = 16 * 1024 * 1024;

    bool operator==(const workspace_limits &) const = default;
};

/** A workspace: its share, its keys and the services that it may call. */
struct workspace_definition
{
    std::string name;
    /** Weight of the workspace when capacity is divided; relative to the other workspaces. */
    double share = 1.0;
    /** SHA-256 digests of the workspace's keys, in lower-case hexadecimal digits. */
    std::vector<std::string> keyDigests;
    /** Names of the services that the workspace may call. */
    std::vector<std::string> services;
    /** Names of the data centres that may serve the workspace; empty for all of them. */
    std::vector<std::string> dataCentres;
    workspace_limits limits;

    bool operator==(const workspace_definition &) const = default;
};

/** The complete configuration of one environment. */
struct configuration_document
{
    std::string environment;
    std::vector<data_centre_definition> dataCentres;
    std::vector<service_definition> services;
    std::vector<workspace_definition> workspaces;

    bool operator==(const configuration_document &) const = default;

    /** Returns the service with the given name, or null if there is none. */
    const service_definition *findService(std::string_view name) const;
    /** Returns the workspace with the given name, or null if there is none. */
    const workspace_definition *findWorkspace(std::string_view name) const;
    /** Returns the data centre with the given name, or null if there is none. */
    const data_centre_definition *findDataCentre(std::string_view name) const;
    /** True if the data centre is defined and open to new work. */
    bool isDataCentreIn(std::string_view name) const;
};

} // namespace quetzal
