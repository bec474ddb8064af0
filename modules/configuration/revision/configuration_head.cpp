#include "configuration/revision/configuration_head.h"

#include "foundation/json/json_reader.h"

#include <limits>

namespace quetzal {

std::string toJson(const configuration_head &head)
{
    nlohmann::json earlier = nlohmann::json::array();
    for (const revision_write &write : head.earlierWrites)
        earlier.push_back({{"revision", write.revision}, {"writeId", write.writeId}});
    return nlohmann::json {{"revision", head.revision},
                           {"digest", head.digest},
                           {"writeId", head.writeId},
                           {"chunks", head.chunks},
                           {"earlierWrites", earlier}}
        .dump();
}

std::optional<configuration_head> readHead(std::string_view text)
{
    constexpr std::int64_t maxRevision = std::numeric_limits<std::int64_t>::max();
    const json_parse_result parsed = parseJsonWithComments(text);
    if (!parsed.document)
        return std::nullopt;

    std::vector<json_fault> faults;
    json_reader reader(*parsed.document, "", faults);
    configuration_head head;
    head.revision = reader.requiredInteger("revision", 1, maxRevision);
    head.digest = reader.requiredString("digest");
    head.writeId = reader.requiredString("writeId");
    head.chunks = reader.optionalStrings("chunks");
    for (json_reader &item : reader.objects("earlierWrites"))
        head.earlierWrites.push_back(
            {item.requiredInteger("revision", 1, maxRevision), item.requiredString("writeId")});
    if (!faults.empty())
        return std::nullopt;
    return head;
}

} // namespace quetzal
