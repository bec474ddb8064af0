#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** A fault in a JSON document: its location as a JSON pointer, and the problem. */
struct json_fault
{
    std::string path;
    std::string problem;

    bool operator==(const json_fault &) const = default;
};

/** Returns the faults as text with one line of the form "path: problem" for each. */
std::string toText(const std::vector<json_fault> &faults);

/** A parsed document, or the faults that prevented parsing. */
struct json_parse_result
{
    std::optional<nlohmann::json> document;
    std::vector<json_fault> faults;
};

/** Parses JSON in which line and block comments are allowed; at most 64 levels of nesting. */
json_parse_result parseJsonWithComments(std::string_view text);

/**
 * Reads and validates the members of one JSON object and collects all faults with their paths.
 *
 * Each function that reads a member returns its value; if the value is invalid, it adds a fault and
 * returns the fallback. Members that have not been read are unknown; reportUnknownMembers() adds a
 * fault for each. Readers of nested objects add to the same list of faults.
 */
class json_reader
{
public:
    /** Reads the value at path, a JSON pointer. The list of faults must outlive this object. */
    json_reader(const nlohmann::json &value, std::string path, std::vector<json_fault> &faults);

    /** Reads a string that must be present and not empty. */
    std::string requiredString(const std::string &name);
    /** Reads a string; returns the fallback if the member is absent. */
    std::string optionalString(const std::string &name, const std::string &fallback);
    /** Reads an integer within [minimum, maximum] that must be present. */
    std::int64_t requiredInteger(const std::string &name, std::int64_t minimum,
                                 std::int64_t maximum);
    /** Reads an integer within [minimum, maximum]; the fallback if the member is absent. */
    std::int64_t optionalInteger(const std::string &name, std::int64_t minimum,
                                 std::int64_t maximum, std::int64_t fallback);
    /** Reads a number within [minimum, maximum]; the fallback if the member is absent. */
    double optionalNumber(const std::string &name, double minimum, double maximum, double fallback);
    /** Reads a boolean; returns the fallback if the member is absent. */
    bool optionalBoolean(const std::string &name, bool fallback);
    /** Reads a list of strings; returns an empty list if the member is absent. */
    std::vector<std::string> optionalStrings(const std::string &name);
    /** Returns a reader for each object of a list; none if the member is absent. */
    std::vector<json_reader> objects(const std::string &name);
    /** Returns a reader for an object; an absent member is treated as an empty object. */
    json_reader object(const std::string &name);

    /** True if the member is present. */
    bool has(const std::string &name) const;
    /** Adds a fault for a member of this object. */
    void addFault(const std::string &name, std::string problem);
    /** Adds a fault for every member that has not been read. */
    void reportUnknownMembers();

    /** Returns the JSON pointer to this object. */
    const std::string &path() const { return m_path; }

private:
    const nlohmann::json *find(const std::string &name);

    nlohmann::json m_value;
    std::string m_path;
    std::vector<json_fault> *m_faults;
    std::vector<std::string> m_readMembers;
};

} // namespace quetzal
