#include "apps/router/router_settings.h"

#include "apps/common/settings_fields.h"

namespace quetzal {

namespace {

constexpr std::int64_t maxMilliseconds = 3600 * 1000;
constexpr std::int64_t maxBytes = 1LL << 30;

absl::Duration optionalMilliseconds(json_reader &reader, const std::string &name,
                                    absl::Duration fallback)
{
    const std::int64_t milliseconds
        = reader.optionalInteger(name, 1, maxMilliseconds, absl::ToInt64Milliseconds(fallback));
    return absl::Milliseconds(milliseconds);
}

} // namespace

router_settings_read_result readRouterSettings(std::string_view text)
{
    router_settings_read_result result;
    const json_parse_result parsed = parseJsonWithComments(text);
    result.faults = parsed.faults;
    if (!parsed.document)
        return result;
    json_reader reader(*parsed.document, "", result.faults);
    router_settings &settings = result.settings;
    settings.vm = reader.requiredString("vm");
    settings.dataCentre = reader.requiredString("dataCentre");
    settings.environment = reader.requiredString("environment");
    settings.listen = requiredEndpoint(reader, "listen");
    settings.statusListen = requiredEndpoint(reader, "statusListen");
    settings.vmList = requiredEndpoint(reader, "vmList");
    settings.logLevel = optionalLogLevel(reader);
    settings.traceFile = reader.optionalString("traceFile", "");
    settings.traceSampleRatio
        = reader.optionalNumber("tracedPart", 0.0, 1.0, settings.traceSampleRatio);
    settings.threads = static_cast<int>(reader.optionalInteger("threads", 4, 4096, 256));
    settings.maxWaitingRequests = static_cast<int>(
        reader.optionalInteger("mostWaiting", 1, 1000000, settings.maxWaitingRequests));
    settings.maxBodyBytes
        = reader.optionalInteger("mostBodyBytes", 1, maxBytes, settings.maxBodyBytes);
    settings.defaultDeadline
        = optionalMilliseconds(reader, "defaultDeadlineMs", settings.defaultDeadline);
    settings.firstByteTimeout
        = optionalMilliseconds(reader, "firstByteTimeoutMs", settings.firstByteTimeout);
    settings.idleTimeout = optionalMilliseconds(reader, "silenceTimeoutMs", settings.idleTimeout);
    settings.stopTimeout = optionalMilliseconds(reader, "stopTimeoutMs", settings.stopTimeout);
    reader.reportUnknownMembers();
    return result;
}

} // namespace quetzal
