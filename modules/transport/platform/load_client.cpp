#include "transport/platform/load_client.h"

#include "foundation/json/json_reader.h"
#include "transport/http/http_call.h"

#include <utility>

namespace quetzal {

namespace {

constexpr std::int64_t maxRequests = 1'000'000;
constexpr double maxUptimeSeconds = 1e10;

} // namespace

std::optional<target_load> readLoad(const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    std::vector<json_fault> faults;
    json_reader reader(document, "", faults);
    const target_load load {
        .instance = reader.requiredString("instance"),
        .running = static_cast<int>(reader.requiredInteger("running", 0, maxRequests)),
        .waiting = static_cast<int>(reader.requiredInteger("waiting", 0, maxRequests)),
        .uptime = absl::Seconds(reader.optionalNumber("uptimeSeconds", 0, maxUptimeSeconds, 0)),
        .isDraining = reader.optionalBoolean("leaving", false),
        .cold = reader.optionalBoolean("cold", false)};
    if (!faults.empty())
        return std::nullopt;
    return load;
}

load_client::load_client(endpoint target)
    : m_target(std::move(target))
{
}

std::optional<target_load> load_client::fetch() const
{
    const std::optional<std::string> body = fetchBody(m_target, "/load");
    return body.has_value() ? readLoad(*body) : std::nullopt;
}

} // namespace quetzal
