#pragma once

#include "configuration/document/configuration_document.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace quetzal {

/** How a definition differs between two documents. */
enum class change_kind
{
    Added,
    Removed,
    Changed,
};

/** A changed member of a definition with its old and new value as JSON. */
struct member_change
{
    std::string member;
    nlohmann::json before;
    nlohmann::json after;

    bool operator==(const member_change &) const = default;
};

/** A definition that differs between two documents. */
struct definition_change
{
    change_kind kind = change_kind::Changed;
    /** Name of the list in the document that contains the definition, such as "workspaces". */
    std::string list;
    std::string name;
    /** The members that differ; empty unless the kind is Changed. */
    std::vector<member_change> members;

    bool operator==(const definition_change &) const = default;
};

/** Returns the definitions that differ, matched by list and name. Their order is ignored. */
std::vector<definition_change> compareDocuments(const configuration_document &before,
                                                const configuration_document &after);

/** Returns the changes as the JSON list of the administration API. */
nlohmann::json toJson(const std::vector<definition_change> &changes);

} // namespace quetzal
