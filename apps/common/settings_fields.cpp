#include "apps/common/settings_fields.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace quetzal {

endpoint requiredEndpoint(json_reader &reader, const std::string &name)
{
    const std::string text = reader.requiredString(name);
    const endpoint result = parseEndpoint(text);
    if (!text.empty() && result.port == 0)
        reader.addFault(name, "must be an IP number and a port, such as \"127.0.0.1:7100\"");
    return result;
}

std::string optionalLogLevel(json_reader &reader)
{
    constexpr std::array<std::string_view, 4> levels {"debug", "info", "warn", "error"};
    const std::string level = reader.optionalString("logLevel", "info");
    if (std::find(levels.begin(), levels.end(), level) == levels.end())
        reader.addFault("logLevel", "must be debug, info, warn or error");
    return level;
}

} // namespace quetzal
