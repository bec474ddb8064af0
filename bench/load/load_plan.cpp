#include "bench/load/load_plan.h"

#include "foundation/hashing/stable_hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <cmath>

namespace quetzal {

load_plan::load_plan(const load_workspace &workspace, std::size_t flow, int routers,
                     std::uint64_t seed)
    : m_workspace(workspace.name)
    , m_flow(workspace.flows.at(flow))
    , m_idPrefix(absl::StrCat("r", seed, "-", flow, "-"))
    , m_routers(routers)
    , m_random(stableHash(absl::StrCat(workspace.name, "/", flow), seed))
{
}

planned_request load_plan::next()
{
    ++m_number;
    planned_request request;
    if (m_flow.ratePerSecond > 0.0) {
        m_arrival += absl::Seconds(-std::log(1.0 - m_random.uniform()) / m_flow.ratePerSecond);
        request.at = m_arrival;
    }
    request.router = drawRouter();
    request.item = drawItem();
    request.callerId = absl::StrCat(m_idPrefix, m_number);
    request.message = absl::StrCat(m_workspace, " asks ", request.callerId);
    request.item.path = absl::StrReplaceAll(request.item.path, {{"{n}", request.callerId}});
    if (request.item.call != load_call::Plain) {
        request.tokens = drawTokens(request.item);
        request.hint = request.item.hintFactor * request.tokens;
    }
    return request;
}

const load_item &load_plan::drawItem()
{
    double total = 0.0;
    for (const load_item &item : m_flow.mix)
        total += item.weight;
    double left = m_random.uniform() * total;
    for (const load_item &item : m_flow.mix) {
        left -= item.weight;
        if (left < 0.0)
            return item;
    }
    return m_flow.mix.back();
}

int load_plan::drawRouter()
{
    if (m_flow.routers.empty())
        return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_routers)));
    return m_flow.routers[m_random.below(m_flow.routers.size())];
}

int load_plan::drawTokens(const load_item &item)
{
    const double ratio = static_cast<double>(item.mostTokens) / item.leastTokens;
    return static_cast<int>(std::lround(item.leastTokens * std::pow(ratio, m_random.uniform())));
}

} // namespace quetzal
