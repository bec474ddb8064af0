#include "scheduling/shard/shard_layout.h"

#include "foundation/errors/precondition.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <cstdint>

namespace quetzal {

std::string shardOf(const target_listing &target, const configuration_document &document)
{
    const service_definition *service = document.findService(target.service);
    if (service != nullptr && service->unit == service_unit::AnsweredRequests)
        return target.service + "/all";
    const int shards = service == nullptr ? 1 : service->shardsPerDataCentre;
    int chosen = 0;
    std::uint64_t heaviest = 0;
    for (int index = 0; index < shards; ++index) {
        const std::uint64_t weight = rendezvousWeight(target.target, std::to_string(index));
        if (weight < heaviest)
            continue;
        heaviest = weight;
        chosen = index;
    }
    return target.service + "/" + target.dataCentre + "/" + std::to_string(chosen);
}

std::map<std::string, std::vector<target_listing>>
groupByShard(const std::vector<target_listing> &targets, const configuration_document &document)
{
    std::map<std::string, std::vector<target_listing>> byShard;
    for (const target_listing &target : targets) {
        if (document.findService(target.service) != nullptr)
            byShard[shardOf(target, document)].push_back(target);
    }
    return byShard;
}

shard_definition defineShard(const std::string &shard, const std::vector<target_listing> &targets)
{
    QUETZAL_PRECONDITION(!targets.empty());
    const target_listing &first = targets.front();
    const bool same
        = std::all_of(targets.begin(), targets.end(), [&first](const target_listing &target) {
              return target.dataCentre == first.dataCentre;
          });
    return {.shard = shard,
            .service = first.service,
            .dataCentre = same ? first.dataCentre : std::string()};
}

} // namespace quetzal
