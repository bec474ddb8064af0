#include "placement/cache/prompt_cache_view.h"

#include <boost/range/adaptor/reversed.hpp>

#include <numeric>

namespace quetzal {

std::span<const prompt_part> sharedPartsOf(const std::vector<prompt_part> &prompt)
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::int64_t tokensOf(const std::vector<prompt_part> &prompt)
{
    return std::accumulate(
        prompt.begin(), prompt.end(), std::int64_t {0},
        [](std::int64_t sum, const prompt_part &part) { return sum + part.tokens; });
}

prompt_cache_view::prompt_cache_view(std::int64_t capacityTokens)
    : m_capacityTokens(capacityTokens)
{
}

std::int64_t prompt_cache_view::missingTokens(const std::vector<prompt_part> &prompt) const
{
    std::int64_t cachedTokens = 0;
    for (const prompt_part &part : prompt) {
        if (!m_parts.contains(part.id))
            break;
        cachedTokens += part.tokens;
    }
    return tokensOf(prompt) - cachedTokens;
}

void prompt_cache_view::use(const std::vector<prompt_part> &prompt)
{
    for (const prompt_part &part : boost::adaptors::reverse(prompt)) {
        const auto found = m_parts.find(part.id);
        if (found != m_parts.end()) {
            m_order.splice(m_order.begin(), m_order, found->second.position);
            continue;
        }
        m_order.push_front(part.id);
        m_parts.emplace(part.id, cached_part {.tokens = part.tokens, .position = m_order.begin()});
        m_cachedTokens += part.tokens;
    }
    evict();
}

void prompt_cache_view::evict()
{
    while (m_cachedTokens > m_capacityTokens && !m_order.empty()) {
        const auto last = m_parts.find(m_order.back());
        m_cachedTokens -= last->second.tokens;
        m_parts.erase(last);
        m_order.pop_back();
    }
}

} // namespace quetzal
