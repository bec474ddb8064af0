#include "bench/load/load_plan.h"

#include "foundation/hashing/stable_hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <cmath>

namespace quetzal {

load_plan::load_plan(const load_workspace &workspace, int routers, std::uint64_t seed)
    : m_workspace(workspace)
    , m_routers(routers)
    , m_seed(seed)
    , m_random(stableHash(workspace.name, seed))
{
}

planned_request load_plan::next()
{
    ++m_number;
    planned_request request;
    if (m_workspace.ratePerSecond > 0.0) {
        m_arrival += absl::Seconds(-std::log(1.0 - m_random.uniform()) / m_workspace.ratePerSecond);
        request.at = m_arrival;
    }
    request.router = drawRouter();
    request.item = drawItem();
    request.callerId = absl::StrCat("r", m_seed, "-", m_number);
    request.message = absl::StrCat(m_workspace.name, " asks ", m_number);
    request.item.path = absl::StrReplaceAll(request.item.path, {{"{n}", std::to_string(m_number)}});
    if (request.item.call != load_call::Plain) {
        request.tokens = drawTokens(request.item);
        request.hint = request.item.hintFactor * request.tokens;
    }
    return request;
}

const load_item &load_plan::drawItem()
{
    double total = 0.0;
    for (const load_item &item : m_workspace.mix)
        total += item.weight;
    double left = m_random.uniform() * total;
    for (const load_item &item : m_workspace.mix) {
        left -= item.weight;
        if (left < 0.0)
            return item;
    }
    return m_workspace.mix.back();
}

int load_plan::drawRouter()
{
    if (m_workspace.routers.empty())
        return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_routers)));
    return m_workspace.routers[m_random.below(m_workspace.routers.size())];
}

int load_plan::drawTokens(const load_item &item)
{
    const double ratio = static_cast<double>(item.mostTokens) / item.leastTokens;
    return static_cast<int>(std::lround(item.leastTokens * std::pow(ratio, m_random.uniform())));
}

} // namespace quetzal
