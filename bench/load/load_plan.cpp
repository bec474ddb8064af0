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
    ++m_requestCount;
    planned_request request;
    if (m_flow.ratePerSecond > 0.0) {
        m_arrival += absl::Seconds(-std::log(1.0 - m_random.uniform()) / m_flow.ratePerSecond);
        request.at = m_arrival;
    }
    request.router = drawRouter();
    request.item = drawItem();
    request.requestId = absl::StrCat(m_idPrefix, m_requestCount);
    request.message = absl::StrCat(m_workspace, " asks ", request.requestId);
    request.item.path = absl::StrReplaceAll(request.item.path, {{"{n}", request.requestId}});
    if (request.item.call != call_type::Plain) {
        request.tokens = drawTokens(request.item);
        request.hint = request.item.hintFactor * request.tokens;
    }
    return request;
}

const request_template &load_plan::drawItem()
{
    double total = 0.0;
    for (const request_template &item : m_flow.mix)
        total += item.weight;
    double remaining = m_random.uniform() * total;
    for (const request_template &item : m_flow.mix) {
        remaining -= item.weight;
        if (remaining < 0.0)
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

int load_plan::drawTokens(const request_template &item)
{
    const double ratio = static_cast<double>(item.maxTokens) / item.minTokens;
    return static_cast<int>(std::lround(item.minTokens * std::pow(ratio, m_random.uniform())));
}

} // namespace quetzal
