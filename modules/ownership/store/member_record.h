#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** The store's record of a live scheduler, attached to that scheduler's lease. */
struct member_record
{
    std::int64_t incarnation = 0;
    std::string dataCentre;

    bool operator==(const member_record &) const = default;
};

/** The record as JSON text. */
std::string toText(const member_record &record);

/** Reads a record; nothing when the text is not one. */
std::optional<member_record> parseMemberRecord(std::string_view text);

} // namespace quetzal
