#include "apps/admin/admin_settings.h"

#include "apps/common/settings_fields.h"

#include <set>

namespace quetzal {

namespace {

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr std::int64_t defaultBodyBytes = 16 * mebibyte;
constexpr std::int64_t maxBodyBytes = 64 * mebibyte;
constexpr std::int64_t maxRequestThreads = 64;
constexpr std::size_t digestLength = 64;

admin_environment readEnvironment(json_reader &reader)
{
    admin_environment result;
    result.name = reader.requiredString("name");
    std::set<std::string> vms;
    for (json_reader &item : reader.objects("schedulers")) {
        const std::string vm = item.requiredString("vm");
        if (!vms.insert(vm).second)
            item.addFault("vm", "stands twice");
        result.schedulers.push_back({vm, requiredEndpoint(item, "status")});
        item.reportUnknownMembers();
    }
    reader.reportUnknownMembers();
    return result;
}

operator_definition readOperator(json_reader &reader)
{
    operator_definition result;
    result.name = reader.requiredString("name");
    result.tokenDigest = reader.requiredString("tokenDigest");
    const bool isDigest = result.tokenDigest.size() == digestLength
        && result.tokenDigest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!result.tokenDigest.empty() && !isDigest)
        reader.addFault("tokenDigest", "must be a SHA-256 digest in lower-case hexadecimal digits");
    const std::string role = reader.requiredString("role");
    if (!role.empty() && role != "read" && role != "write")
        reader.addFault("role", "must be \"read\" or \"write\"");
    result.role = role == "write" ? operator_role::Write : operator_role::Read;
    reader.reportUnknownMembers();
    return result;
}

void checkEnvironmentName(json_reader &reader, const std::string &member, const std::string &name,
                          const std::set<std::string> &names)
{
    if (!name.empty() && !names.contains(name))
        reader.addFault(member, "names no environment");
}

void readEnvironments(json_reader &reader, admin_settings &settings)
{
    std::set<std::string> names;
    for (json_reader &item : reader.objects("environments")) {
        settings.environments.push_back(readEnvironment(item));
        if (!names.insert(settings.environments.back().name).second)
            item.addFault("name", "stands twice");
    }
    if (names.empty())
        reader.addFault("environments", "must list at least one environment");
    settings.defaultEnvironment = reader.requiredString("defaultEnvironment");
    checkEnvironmentName(reader, "defaultEnvironment", settings.defaultEnvironment, names);
    if (!reader.has("promotion"))
        return;
    json_reader promotion = reader.object("promotion");
    settings.promotionSource = promotion.requiredString("from");
    settings.promotionDestination = promotion.requiredString("to");
    checkEnvironmentName(promotion, "from", settings.promotionSource, names);
    checkEnvironmentName(promotion, "to", settings.promotionDestination, names);
    promotion.reportUnknownMembers();
}

} // namespace

administration_options admin_settings::apiOptions() const
{
    administration_options options {.environments = {},
                                    .defaultEnvironment = defaultEnvironment,
                                    .promotionSource = promotionSource,
                                    .promotionDestination = promotionDestination};
    for (const admin_environment &environment : environments)
        options.environments[environment.name] = environment.keyPrefix();
    return options;
}

admin_settings_read_result readAdminSettings(std::string_view text)
{
    admin_settings_read_result result;
    const json_parse_result parsed = parseJsonWithComments(text);
    result.faults = parsed.faults;
    if (!parsed.document)
        return result;
    json_reader reader(*parsed.document, "", result.faults);
    admin_settings &settings = result.settings;
    settings.listen = requiredEndpoint(reader, "listen");
    settings.store = requiredEndpoint(reader, "store");
    readEnvironments(reader, settings);
    for (json_reader &item : reader.objects("operators"))
        settings.operators.push_back(readOperator(item));
    settings.requestThreads
        = static_cast<int>(reader.optionalInteger("requestThreads", 1, maxRequestThreads, 8));
    settings.maxBodyBytes = static_cast<std::size_t>(
        reader.optionalInteger("mostBodyBytes", 1, maxBodyBytes, defaultBodyBytes));
    settings.logLevel = optionalLogLevel(reader);
    reader.reportUnknownMembers();
    return result;
}

} // namespace quetzal
