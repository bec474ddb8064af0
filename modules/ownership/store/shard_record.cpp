#include "ownership/store/shard_record.h"

#include <nlohmann/json.hpp>

namespace quetzal {

std::vector<former_owner> formerOwnersAfter(const shard_record &record)
{
    std::vector<former_owner> owners = record.former;
    if (!record.vm.empty())
        owners.push_back({.vm = record.vm, .incarnation = record.incarnation});
    return owners;
}

std::string toText(const shard_record &record)
{
    nlohmann::json former = nlohmann::json::array();
    for (const former_owner &owner : record.former)
        former.push_back({{"vm", owner.vm}, {"incarnation", owner.incarnation}});
    const nlohmann::json text = {{"vm", record.vm},
                                 {"incarnation", record.incarnation},
                                 {"epoch", record.epoch},
                                 {"former", former},
                                 {"abrupt", record.abrupt}};
    return text.dump();
}

std::optional<shard_record> parseShardRecord(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        shard_record record {.vm = json.at("vm").get<std::string>(),
                             .incarnation = json.at("incarnation").get<std::int64_t>(),
                             .epoch = json.at("epoch").get<std::int64_t>(),
                             .former = {},
                             .abrupt = json.at("abrupt").get<bool>()};
        for (const nlohmann::json &owner : json.at("former")) {
            record.former.push_back({.vm = owner.at("vm").get<std::string>(),
                                     .incarnation = owner.at("incarnation").get<std::int64_t>()});
        }
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace quetzal
