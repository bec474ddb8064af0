#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** One fault of a JSON document: where it is (a JSON pointer) and what is wrong. */
struct json_fault
{
    std::string path;
    std::string problem;

    bool operator==(const json_fault &) const = default;
};

/** The faults as text, a line each: "path: problem". */
std::string toText(const std::vector<json_fault> &faults);

/** A parsed document, or the faults that kept it from being parsed. */
struct json_parse_result
{
    std::optional<nlohmann::json> document;
    std::vector<json_fault> faults;
};

/** Parses JSON, nested at most 64 deep, in which // and block comments are allowed. */
json_parse_result parseJsonWithComments(std::string_view text);

/**
 * Reads the members of one JSON object and collects every fault with its path.
 *
 * Each reading function returns the value, or the fallback after noting a fault. finish() notes
 * each member that no reading function asked for. Readers of nested objects add to the same list.
 */
class json_reader
{
public:
    /** Reads value, which stands at path; faults are added to faults, which must outlive this. */
    json_reader(const nlohmann::json &value, std::string path, std::vector<json_fault> &faults);

    /** A member that must be a non-empty string. */
    std::string requiredString(const std::string &name);
    /** A string, or the fallback when the member is absent. */
    std::string optionalString(const std::string &name, const std::string &fallback);
    /** An integer within [least, most] that must be present. */
    std::int64_t requiredInteger(const std::string &name, std::int64_t minimum,
                                 std::int64_t maximum);
    /** An integer within [least, most], or the fallback when the member is absent. */
    std::int64_t optionalInteger(const std::string &name, std::int64_t minimum,
                                 std::int64_t maximum, std::int64_t fallback);
    /** A number within [least, most], or the fallback when the member is absent. */
    double optionalNumber(const std::string &name, double minimum, double maximum, double fallback);
    /** A boolean, or the fallback when the member is absent. */
    bool optionalBoolean(const std::string &name, bool fallback);
    /** A list of strings, empty when the member is absent. */
    std::vector<std::string> optionalStrings(const std::string &name);
    /** A reader for each object of a list member, empty when the member is absent. */
    std::vector<json_reader> objects(const std::string &name);
    /** A reader of an object member; an absent member reads as an empty object. */
    json_reader object(const std::string &name);

    /** True when the member is present. */
    bool has(const std::string &name) const;
    /** Notes a fault at a member of this object. */
    void fault(const std::string &name, std::string problem);
    /** Notes every member that was not read as an unknown member. */
    void finish();

    const std::string &path() const { return m_path; }

private:
    const nlohmann::json *find(const std::string &name);

    nlohmann::json m_value;
    std::string m_path;
    std::vector<json_fault> *m_faults;
    std::vector<std::string> m_readMembers;
};

} // namespace quetzal
