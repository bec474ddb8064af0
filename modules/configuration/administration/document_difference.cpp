#include "configuration/administration/document_difference.h"

#include "configuration/document/document_reader.h"

#include <map>

namespace quetzal {

namespace {

using definitions_by_name = std::map<std::string, nlohmann::json>;

definitions_by_name definitionsOf(const nlohmann::json &document, const std::string &list)
{
    definitions_by_name result;
    for (const nlohmann::json &definition : document.at(list))
        result[definition.at("name").get<std::string>()] = definition;
    return result;
}

std::vector<member_change> compareMembers(const nlohmann::json &before, const nlohmann::json &after)
{
    std::vector<member_change> changes;
    for (const auto &member : after.items()) {
        const nlohmann::json &old = before.at(member.key());
        if (old != member.value())
            changes.push_back({member.key(), old, member.value()});
    }
    return changes;
}

void compareLists(const std::string &list, const definitions_by_name &before,
                  const definitions_by_name &after, std::vector<definition_change> &changes)
{
    for (const auto &[name, definition] : before) {
        if (!after.contains(name))
            changes.push_back({change_kind::Removed, list, name, {}});
    }
    for (const auto &[name, definition] : after) {
        const auto old = before.find(name);
        if (old == before.end())
            changes.push_back({change_kind::Added, list, name, {}});
        else if (old->second != definition)
            changes.push_back(
                {change_kind::Changed, list, name, compareMembers(old->second, definition)});
    }
}

const char *nameOf(change_kind kind)
{
    switch (kind) {
    case change_kind::Added:
        return "added";
    case change_kind::Removed:
        return "removed";
    case change_kind::Changed:
        return "changed";
    }
    return "unknown";
}

} // namespace

std::vector<definition_change> compareDocuments(const configuration_document &before,
                                                const configuration_document &after)
{
    const auto old = nlohmann::json::parse(toCanonicalJson(before));
    const auto changed = nlohmann::json::parse(toCanonicalJson(after));
    std::vector<definition_change> changes;
    if (before.environment != after.environment)
        changes.push_back({change_kind::Changed,
                           "environment",
                           after.environment,
                           {{"environment", before.environment, after.environment}}});
    for (const char *list : {"dataCentres", "services", "workspaces"})
        compareLists(list, definitionsOf(old, list), definitionsOf(changed, list), changes);
    return changes;
}

nlohmann::json toJson(const std::vector<definition_change> &changes)
{
    nlohmann::json result = nlohmann::json::array();
    for (const definition_change &change : changes) {
        nlohmann::json members = nlohmann::json::array();
        for (const member_change &member : change.members)
            members.push_back(
                {{"member", member.member}, {"before", member.before}, {"after", member.after}});
        result.push_back({{"change", nameOf(change.kind)},
                          {"list", change.list},
                          {"name", change.name},
                          {"members", members}});
    }
    return result;
}

} // namespace quetzal
