#pragma once

#include "configuration/document/configuration_document.h"
#include "foundation/json/json_reader.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** An IP number and a port of something that the load program talks to. */
struct load_address
{
    std::string ip;
    int port = 0;

    bool operator==(const load_address &) const = default;
};

/** A stand-in whose execution log is read at the end. */
struct load_target
{
    load_address address;
    std::string dataCentre;

    bool operator==(const load_target &) const = default;
};

/** The sorts of requests in a mix. */
enum class load_call
{
    StreamedChat,
    Chat,
    Plain,
};

/** One sort of request that a workspace sends. */
struct load_item
{
    load_call call = load_call::StreamedChat;
    /** Service of the configuration document. */
    std::string service;
    /** How often the item is taken, relative to the workspace's other items. */
    double weight = 1.0;
    /** Model of a chat request. */
    std::string model;
    int leastTokens = 16;
    int mostTokens = 256;
    /** Factor between the true number of tokens and the hint; 0 sends no hint. */
    double hintFactor = 1.0;
    /** Kind of the request; empty for none. */
    std::string kind;
    /** Method and path of a plain call; "{n}" in the path becomes the caller's request id. */
    std::string method = "POST";
    std::string path = "/";
    /** Whether the call may be executed more than once. */
    bool idempotent = false;

    bool operator==(const load_item &) const = default;
};

/** A process whose /v1/status and /metrics name its control traffic. */
struct load_node
{
    std::string vm;
    load_address address;

    bool operator==(const load_node &) const = default;
};

/** Requests that a workspace sends independently of its other flows. */
struct load_flow
{
    /** Requests in progress at any time. */
    int concurrency = 1;
    /** Requests a second at random intervals; 0 sends the next one as soon as one ends. */
    double ratePerSecond = 0.0;
    /**
     * Requests of the workspace in progress at a service from which it counts as backlogged there;
     * flows with a rate never count.
     */
    int backloggedFrom = 1;
    /** Indexes of the routers used, each as often as it is named; empty for all. */
    std::vector<int> routers;
    std::vector<load_item> mix;

    bool operator==(const load_flow &) const = default;
};

/** What one workspace sends. */
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
    /** Path of the configuration document; gives shares and units. */
    std::string documentPath;
    std::vector<load_workspace> workspaces;
    /** Bound on the gap of every service, in largest weighted requests; 0 for none. */
    double mostGap = 0.0;
    std::uint64_t seed = 1;
    absl::Duration duration = absl::Seconds(20);
    /** Longest time that a request may take; sent to the router as its deadline. */
    absl::Duration deadline = absl::Seconds(60);
    /** Most requests in the whole run. */
    std::int64_t mostRequests = 20000;
    /** Pause of a worker after a refusal. */
    absl::Duration pauseAfterRefusal = absl::Milliseconds(200);

    bool operator==(const load_settings &) const = default;
};

/** Checked settings or their faults. */
struct load_settings_read_result
{
    load_settings settings;
    std::vector<json_fault> faults;
};

/** Reads and checks the whole text of a settings file. */
load_settings_read_result readLoadSettings(std::string_view text);

} // namespace quetzal
