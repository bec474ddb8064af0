#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <list>
#include <string>
#include <vector>

namespace quetzal {

/** One part of a prompt; requests with the same part in the same place share it. */
struct prompt_part
{
    std::uint64_t id = 0;
    /** Length in tokens. */
    std::int64_t tokens = 0;

    bool operator==(const prompt_part &) const = default;
};

/** The tokens of a prompt. */
std::int64_t tokensOf(const std::vector<prompt_part> &prompt);

/**
 * What one target's prompt cache probably holds, from the prompts that were sent to it.
 *
 * Parts are kept in the order of their last use within the target's capacity. A part counts only
 * when all parts before it are held too.
 */
class prompt_cache_view
{
public:
    explicit prompt_cache_view(std::int64_t capacityTokens);

    /** Tokens of the prompt that the target would have to read. */
    std::int64_t missingTokens(const std::vector<prompt_part> &prompt) const;
    /** The target reads or uses this prompt. */
    void use(const std::vector<prompt_part> &prompt);

private:
    struct cached_part
    {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    void evict();

    std::int64_t m_capacityTokens;
    std::int64_t m_cachedTokens = 0;
    /** Most recently used first. */
    std::list<std::uint64_t> m_order;
    absl::flat_hash_map<std::uint64_t, cached_part> m_parts;
};

} // namespace quetzal
