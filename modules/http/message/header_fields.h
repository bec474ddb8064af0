#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** One header field as it was received; the name keeps its case. */
struct header_field
{
    std::string name;
    std::string value;

    bool operator==(const header_field &) const = default;
};

/** Compares names as HTTP does, without regard to the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** The header fields of one message in the order in which they were received. */
class header_fields
{
public:
    void add(std::string_view name, std::string_view value);
    /** Removes every field of this name. */
    void remove(std::string_view name);
    /** Replaces every field of this name by one. */
    void set(std::string_view name, std::string_view value);

    /** The value of the first field of this name; null when there is none. */
    const std::string *find(std::string_view name) const;
    /** The value of the first field of this name; empty when there is none. */
    std::string_view valueOf(std::string_view name) const;
    std::size_t count(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    bool operator==(const header_fields &) const = default;

private:
    std::vector<header_field> m_fields;
};

/**
 * Removes the fields that concern one connection only: those that HTTP names, and those that the
 * Connection field names unless they are among the fields that must reach the other end.
 */
void removeHopByHopFields(header_fields &fields, const std::vector<std::string_view> &endToEnd);

} // namespace quetzal
