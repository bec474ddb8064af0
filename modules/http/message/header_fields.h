#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** One header field as received; the name keeps its case. */
struct header_field
{
    std::string name;
    std::string value;

    bool operator==(const header_field &) const = default;
};

/** Compares two strings as HTTP compares names: ignoring the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** Header fields of one message, in the order received; names are compared ignoring case. */
class header_fields
{
public:
    /** Appends a field; fields of the same name are kept. */
    void add(std::string_view name, std::string_view value);
    /** Removes every field with this name. */
    void remove(std::string_view name);
    /** Replaces all fields with this name by a single one. */
    void set(std::string_view name, std::string_view value);

    /** Returns the value of the first field with this name, or null if there is none. */
    const std::string *find(std::string_view name) const;
    /** Returns the value of the first field with this name, or an empty string if none exists. */
    std::string_view valueOf(std::string_view name) const;
    /** Returns the number of fields with this name. */
    std::size_t count(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    bool operator==(const header_fields &) const = default;

private:
    std::vector<header_field> m_fields;
};

/**
 * Removes hop-by-hop fields: those defined by HTTP, and those listed in the Connection field.
 * @param endToEnd names that are kept even if the Connection field lists them.
 */
void removeHopByHopFields(header_fields &fields, const std::vector<std::string_view> &endToEnd);

} // namespace quetzal
