#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** The store's record of a running scheduler; its key is attached to the scheduler's lease. */
struct member_record
{
    std::int64_t incarnation = 0;
    std::string dataCentre;

    bool operator==(const member_record &) const = default;
};

/** Returns the record as JSON. */
std::string toText(const member_record &record);

/** Parses a record; returns nullopt if the text is malformed. */
std::optional<member_record> parseMemberRecord(std::string_view text);

} // namespace quetzal
