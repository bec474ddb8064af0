#include "foundation/json/json_reader.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** Copying a more deeply nested document could overflow the stack. */
constexpr int maxNestingDepth = 64;

} // namespace

std::string toText(const std::vector<json_fault> &faults)
{
    std::string text;
    for (const json_fault &fault : faults)
        text += (fault.path.empty() ? "/" : fault.path) + ": " + fault.problem + "\n";
    return text;
}

json_parse_result parseJsonWithComments(std::string_view text)
{
    constexpr bool throwOnError = true;
    constexpr bool ignoreComments = true;
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxNestingDepth;
        return !tooDeep;
    };
    try {
        nlohmann::json document
            = nlohmann::json::parse(text, limitDepth, throwOnError, ignoreComments);
        if (tooDeep)
            return {std::nullopt, {{"", "is nested too deeply"}}};
        return {std::move(document), {}};
    } catch (const nlohmann::json::parse_error &error) {
        const std::string place = "not valid JSON at byte " + std::to_string(error.byte);
        return {std::nullopt, {{"", place}}};
    } catch (const nlohmann::json::out_of_range &) {
        return {std::nullopt, {{"", "not valid JSON: a number is out of range"}}};
    }
}

json_reader::json_reader(const nlohmann::json &value, std::string path,
                         std::vector<json_fault> &faults)
    : m_value(value)
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (m_value.is_object())
        return;
    m_faults->push_back({m_path, "must be an object"});
    m_value = nlohmann::json::object();
}

std::string json_reader::requiredString(const std::string &name)
{
    const nlohmann::json *member = find(name);
    if (member != nullptr && member->is_string() && !member->get_ref<const std::string &>().empty())
        return member->get<std::string>();
    addFault(name, "must be a non-empty string");
    return {};
}

std::string json_reader::optionalString(const std::string &name, const std::string &fallback)
{
    const nlohmann::json *member = find(name);
    if (member == nullptr)
        return fallback;
    if (member->is_string())
        return member->get<std::string>();
    addFault(name, "must be a string");
    return fallback;
}

std::int64_t json_reader::requiredInteger(const std::string &name, std::int64_t minimum,
                                          std::int64_t maximum)
{
    if (!has(name))
        addFault(name, "must be present");
    return optionalInteger(name, minimum, maximum, minimum);
}

std::int64_t json_reader::optionalInteger(const std::string &name, std::int64_t minimum,
                                          std::int64_t maximum, std::int64_t fallback)
{
    const nlohmann::json *member = find(name);
    if (member == nullptr)
        return fallback;
    if (member->is_number_integer()) {
        const auto value = member->get<std::int64_t>();
        if (value >= minimum && value <= maximum)
            return value;
    }
    addFault(name,
             "must be an integer from " + std::to_string(minimum) + " to "
                 + std::to_string(maximum));
    return fallback;
}

double json_reader::optionalNumber(const std::string &name, double minimum, double maximum,
                                   double fallback)
{
    const nlohmann::json *member = find(name);
    if (member == nullptr)
        return fallback;
    if (member->is_number()) {
        const auto value = member->get<double>();
        if (value >= minimum && value <= maximum)
            return value;
    }
    addFault(name,
             "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

bool json_reader::optionalBoolean(const std::string &name, bool fallback)
{
    const nlohmann::json *member = find(name);
    if (member == nullptr)
        return fallback;
    if (member->is_boolean())
        return member->get<bool>();
    addFault(name, "must be true or false");
    return fallback;
}

std::vector<std::string> json_reader::optionalStrings(const std::string &name)
{
    const nlohmann::json *member = find(name);
    if (member == nullptr)
        return {};
    const bool valid = member->is_array()
        && std::all_of(member->begin(), member->end(),
                       [](const nlohmann::json &item) { return item.is_string(); });
    if (valid)
        return member->get<std::vector<std::string>>();
    addFault(name, "must be a list of strings");
    return {};
}

std::vector<json_reader> json_reader::objects(const std::string &name)
{
    const nlohmann::json *member = find(name);
    if (member == nullptr)
        return {};
    if (!member->is_array()) {
        addFault(name, "must be a list of objects");
        return {};
    }
    std::vector<json_reader> readers;
    for (std::size_t index = 0; index < member->size(); ++index) {
        const std::string itemPath = m_path + "/" + name + "/" + std::to_string(index);
        readers.emplace_back(member->at(index), itemPath, *m_faults);
    }
    return readers;
}

json_reader json_reader::object(const std::string &name)
{
    const nlohmann::json *member = find(name);
    const nlohmann::json absent = nlohmann::json::object();
    return {member == nullptr ? absent : *member, m_path + "/" + name, *m_faults};
}

bool json_reader::has(const std::string &name) const
{
    return m_value.contains(name);
}

void json_reader::addFault(const std::string &name, std::string problem)
{
    m_faults->push_back({m_path + "/" + name, std::move(problem)});
}

void json_reader::reportUnknownMembers()
{
    for (const auto &member : m_value.items()) {
        if (std::find(m_readMembers.begin(), m_readMembers.end(), member.key())
            == m_readMembers.end())
            addFault(member.key(), "unknown member");
    }
}

const nlohmann::json *json_reader::find(const std::string &name)
{
    m_readMembers.push_back(name);
    const auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

} // namespace quetzal
