#pragma once

#include "configuration/document/configuration_document.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace quetzal {

/** What happened to a definition between two documents. */
enum class change_kind
{
    Added,
    Removed,
    Changed,
};

/** One member of a definition with its values before and after, as JSON. */
struct member_change
{
    std::string member;
    nlohmann::json before;
    nlohmann::json after;

    bool operator==(const member_change &) const = default;
};

/** One definition that differs between two documents. */
struct definition_change
{
    change_kind kind = change_kind::Changed;
    /** Member of the document that lists the definition, such as "workspaces". */
    std::string list;
    std::string name;
    /** The differing members, for Changed. */
    std::vector<member_change> members;

    bool operator==(const definition_change &) const = default;
};

/** The definitions that differ, by list and name; a change of order alone is no difference. */
std::vector<definition_change> compareDocuments(const configuration_document &before,
                                                const configuration_document &after);

/** The changes as the JSON list that the administration API returns. */
nlohmann::json toJson(const std::vector<definition_change> &changes);

} // namespace quetzal
