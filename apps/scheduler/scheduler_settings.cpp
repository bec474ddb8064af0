#include "apps/scheduler/scheduler_settings.h"

#include "apps/common/settings_fields.h"

namespace quetzal {

scheduler_settings_read_result readSchedulerSettings(std::string_view text)
{
    scheduler_settings_read_result result;
    const json_parse_result parsed = parseJsonWithComments(text);
    result.faults = parsed.faults;
    if (!parsed.document)
        return result;
    json_reader reader(*parsed.document, "", result.faults);
    scheduler_settings &settings = result.settings;
    settings.vm = reader.requiredString("vm");
    settings.dataCentre = reader.requiredString("dataCentre");
    settings.environment = reader.requiredString("environment");
    settings.listen = requiredEndpoint(reader, "listen");
    settings.statusListen = requiredEndpoint(reader, "statusListen");
    settings.store = requiredEndpoint(reader, "store");
    settings.vmList = requiredEndpoint(reader, "vmList");
    settings.logLevel = optionalLogLevel(reader);
    reader.reportUnknownMembers();
    return result;
}

} // namespace quetzal
