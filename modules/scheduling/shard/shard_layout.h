#pragma once

#include "configuration/document/configuration_document.h"
#include "ownership/shards/shard_ownership.h"
#include "targets/admission/target_admission.h"

#include <map>
#include <string>
#include <vector>

namespace quetzal {

/**
 * Returns the shard that a target belongs to. The result is the same at every scheduler with the
 * same document.
 *
 * A service that counts answered requests has one shard for all data centres, because the rounding
 * errors of several shards would add up. Other services have shardsPerDataCentre shards in each
 * data centre.
 */
std::string shardOf(const target_listing &target, const configuration_document &document);

/** Groups the targets of the document's services by shard. */
std::map<std::string, std::vector<target_listing>>
groupByShard(const std::vector<target_listing> &targets, const configuration_document &document);

/**
 * Returns the definition of a shard with the given targets, of which there must be at least one.
 * The data centre is empty if the targets are in several data centres.
 */
shard_definition defineShard(const std::string &shard, const std::vector<target_listing> &targets);

} // namespace quetzal
