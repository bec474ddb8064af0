#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <vector>

namespace quetzal {

/** One part of a prompt; requests share it if they have the same part at the same position. */
struct prompt_part
{
    std::uint64_t id = 0;
    /** Length in tokens. */
    std::int64_t tokens = 0;

    bool operator==(const prompt_part &) const = default;
};

/** Returns all parts of a prompt but the last one, which belongs to its request or session. */
std::span<const prompt_part> sharedPartsOf(const std::vector<prompt_part> &prompt);

/** Returns the number of tokens of a prompt. */
std::int64_t tokensOf(const std::vector<prompt_part> &prompt);

/**
 * Estimates the content of one target's prompt cache from the prompts that were sent to it.
 *
 * Keeps the most recently used parts up to the target's capacity. A part is a cache hit only if
 * all parts before it are cached too.
 */
class prompt_cache_view
{
public:
    /** Creates an empty cache with a capacity in tokens. */
    explicit prompt_cache_view(std::int64_t capacityTokens);

    /** Returns the tokens of the prompt that are not cached and that the target has to process. */
    std::int64_t missingTokens(const std::vector<prompt_part> &prompt) const;
    /** Records that the target processes this prompt, so that all its parts are cached. */
    void use(const std::vector<prompt_part> &prompt);

private:
    struct cached_part
    {
        std::int64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    /** Removes the least recently used parts beyond the capacity. */
    void evict();

    std::int64_t m_capacityTokens;
    std::int64_t m_cachedTokens = 0;
    /** The ids of the cached parts, most recently used first. */
    std::list<std::uint64_t> m_order;
    absl::flat_hash_map<std::uint64_t, cached_part> m_parts;
};

} // namespace quetzal
