#pragma once

#include "configuration/document/configuration_document.h"
#include "ownership/shards/shard_ownership.h"
#include "targets/admission/target_admission.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/**
 * The shard that a target belongs to; the same at every scheduler with the same document.
 *
 * A service counted in answered requests has one shard over all data centres, because the
 * roundings of several shards would add up; other services have shardsPerDataCentre in each.
 */
std::string shardOf(const target_listing &target, const configuration_document &document);

/** The targets of the document's services by shard. */
std::map<std::string, std::vector<target_listing>>
groupByShard(const std::vector<target_listing> &targets, const configuration_document &document);

/** The definition of a shard with these targets, of which there is at least one. */
shard_definition defineShard(const std::string &shard, const std::vector<target_listing> &targets);

} // namespace quetzal
