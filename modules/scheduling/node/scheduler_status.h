#pragma once

#include "ownership/shards/shard_ownership.h"
#include "scheduling/shard/shard_scheduler.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzal {

/** The state of one owned shard for the status page. */
struct shard_status
{
    std::string shard;
    std::string service;
    std::string dataCentre;
    std::int64_t epoch = 0;
    ownership_certainty certainty = ownership_certainty::Certain;
    std::vector<target_status> targets;
    std::vector<workspace_status> workspaces;

    bool operator==(const shard_status &) const = default;
};

/** The state of a scheduler for operators. */
struct scheduler_status
{
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t configurationRevision = 0;
    bool connected = false;
    bool storeReachable = false;
    bool stopping = false;
    std::map<std::string, std::int64_t> routerRevisions;
    std::vector<shard_status> owned;

    bool operator==(const scheduler_status &) const = default;
};

/** Returns the status as the JSON text for GET /v1/status. */
std::string toJson(const scheduler_status &status);

} // namespace quetzal
