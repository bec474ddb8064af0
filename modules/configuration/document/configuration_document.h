#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** What stands behind a service. */
enum class service_kind
{
    Model,
    Plain,
};

/** In what unit the service of a workspace is counted. */
enum class service_unit
{
    /** Tokens generated. */
    Tokens,
    /** Requests answered whole, each with the weight of its kind. */
    AnsweredRequests,
};

/** Whether operators allow new work in a data centre. */
enum class data_centre_state
{
    In,
    Out,
};

/** One data centre. */
struct data_centre_definition
{
    std::string name;
    data_centre_state state = data_centre_state::In;

    bool operator==(const data_centre_definition &) const = default;
};

/** A kind of request with its weight in the unit of its service. */
struct request_kind
{
    std::string name;
    double weight = 1.0;

    bool operator==(const request_kind &) const = default;
};

/** Which calls of a plain service are idempotent; the first matching rule counts. */
struct call_rule
{
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
    /** Name of a request_kind; empty for the default weight 1. */
    std::string requestKind;

    bool operator==(const call_rule &) const = default;
};

/** One service that workspaces share. */
struct service_definition
{
    std::string name;
    service_kind kind = service_kind::Model;
    service_unit unit = service_unit::Tokens;
    std::vector<std::string> models;
    std::vector<request_kind> requestKinds;
    std::vector<call_rule> calls;
    /** Into how many shards the targets of each data centre are divided. */
    int shardsPerDataCentre = 1;
    /** Most concurrent requests of a warm target. */
    int slotsPerTarget = 8;
    /** Most concurrent requests of a target that has just started. */
    int coldSlotsPerTarget = 1;
    /** Largest cost of one request in the service's unit; estimates stay below it. */
    double largestRequest = 4096.0;
    /** Whether targets of this service refuse an order with an old fencing number. */
    bool targetsCheckFencing = false;

    bool operator==(const service_definition &) const = default;
};

/** Bounds on what one workspace may hold at one router. */
struct workspace_limits
{
    int waitingRequests = 200;
    std::int64_t bufferedBytes = 16 * 1024 * 1024;

    bool operator==(const workspace_limits &) const = default;
};

/** One workspace. */
struct workspace_definition
{
    std::string name;
    double share = 1.0;
    /** SHA-256 digests of the workspace's keys, in hexadecimal. */
    std::vector<std::string> keyDigests;
    std::vector<std::string> services;
    /** Data centres that may serve the workspace; empty for all. */
    std::vector<std::string> dataCentres;
    workspace_limits limits;

    bool operator==(const workspace_definition &) const = default;
};

/** The whole configuration of one environment. */
struct configuration_document
{
    std::string environment;
    std::vector<data_centre_definition> dataCentres;
    std::vector<service_definition> services;
    std::vector<workspace_definition> workspaces;

    bool operator==(const configuration_document &) const = default;

    /** The named service, or null. */
    const service_definition *findService(std::string_view name) const;
    /** The named workspace, or null. */
    const workspace_definition *findWorkspace(std::string_view name) const;
    /** The named data centre, or null. */
    const data_centre_definition *findDataCentre(std::string_view name) const;
    /** True when the data centre is defined and in use. */
    bool isDataCentreIn(std::string_view name) const;
};

} // namespace quetzal
