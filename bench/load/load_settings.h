#pragma once

#include "configuration/document/configuration_document.h"
#include "foundation/json/json_reader.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** IP address and port of a router, a target or another process. */
struct load_address
{
    std::string ip;
    int port = 0;

    bool operator==(const load_address &) const = default;
};

/** A stand-in target whose counters and execution log are read. */
struct load_target
{
    load_address address;
    std::string dataCentre;

    bool operator==(const load_target &) const = default;
};

/** The type of call that a request makes. */
enum class call_type
{
    StreamedChat,
    Chat,
    Plain,
};

/** Template for the requests of one entry in a flow's mix. */
struct request_template
{
    call_type call = call_type::StreamedChat;
    /** Service of the configuration document. */
    std::string service;
    /** Frequency of the entry, relative to the other entries of the flow's mix. */
    double weight = 1.0;
    /** Model of a chat request. */
    std::string model;
    /** Range of the number of tokens of a chat request. */
    int minTokens = 16;
    int maxTokens = 256;
    /** Ratio of the cost hint to the true number of tokens; 0 sends no hint. */
    double hintFactor = 1.0;
    /** Request kind to send; empty for none. */
    std::string kind;
    /** Method and path of a plain call; "{n}" in the path is replaced by the request id. */
    std::string method = "POST";
    std::string path = "/";
    /** True if a plain call may be executed more than once. */
    bool idempotent = false;

    bool operator==(const request_template &) const = default;
};

/** A process that reports its control traffic in /v1/status or /metrics. */
struct load_node
{
    std::string vm;
    load_address address;

    bool operator==(const load_node &) const = default;
};

/** A stream of requests that a workspace sends independently of its other flows. */
struct load_flow
{
    /** Maximum number of requests in progress at the same time. */
    int concurrency = 1;
    /**
     * Mean number of requests per second, sent at random intervals; 0 sends the next request as
     * soon as one has ended.
     */
    double ratePerSecond = 0.0;
    /**
     * Number of the workspace's requests in progress at a service from which the workspace counts
     * as backlogged at that service. Not used for flows with a rate.
     */
    int backlogThreshold = 1;
    /** Indexes of the routers to use, each weighted by how often it is listed; empty for all. */
    std::vector<int> routers;
    std::vector<request_template> mix;

    bool operator==(const load_flow &) const = default;
};

/** A workspace with the flows of requests that it sends. */
struct load_workspace
{
    std::string name;
    std::string key;
    std::vector<load_flow> flows;

    bool operator==(const load_workspace &) const = default;
};

/** The settings file of quetzal-load. */
struct load_settings
{
    std::vector<load_address> routers;
    std::vector<load_target> targets;
    /** Processes whose control traffic is measured. */
    std::vector<load_node> nodes;
    /** Path of the configuration document, from which shares and units are read. */
    std::string documentPath;
    std::vector<load_workspace> workspaces;
    /**
     * Upper bound on the gap of every service, as a multiple of its largest weighted request; 0 for
     * none.
     */
    double maxGap = 0.0;
    std::uint64_t seed = 1;
    absl::Duration duration = absl::Seconds(20);
    /** Maximum time that a request may take; sent to the router as the request's deadline. */
    absl::Duration deadline = absl::Seconds(60);
    /** Maximum number of requests in the whole run. */
    std::int64_t maxRequests = 20000;
    /** Time that a worker waits after a request without a complete, correct answer. */
    absl::Duration delayAfterRefusal = absl::Milliseconds(200);

    bool operator==(const load_settings &) const = default;
};

/** The settings, which are valid only if there are no faults. */
struct load_settings_read_result
{
    load_settings settings;
    std::vector<json_fault> faults;
};

/** Parses and checks the text of a settings file. */
load_settings_read_result readLoadSettings(std::string_view text);

} // namespace quetzal
