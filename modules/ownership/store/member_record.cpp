#include "ownership/store/member_record.h"

#include <nlohmann/json.hpp>

namespace quetzal {

std::string toText(const member_record &record)
{
    const nlohmann::json text
        = {{"incarnation", record.incarnation}, {"dataCentre", record.dataCentre}};
    return text.dump();
}

std::optional<member_record> parseMemberRecord(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return member_record {.incarnation = json.at("incarnation").get<std::int64_t>(),
                              .dataCentre = json.at("dataCentre").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace quetzal
