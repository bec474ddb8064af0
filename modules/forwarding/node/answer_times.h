#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace quetzal {

/** Estimates, from above, how long targets take to answer the requests of each route. */
class answer_times
{
public:
    /**
     * Adds a complete answer. @param cost the cost of the request; its answer takes a multiple of
     * the time of one unit
     */
    void onAnswered(const std::string &route, std::int64_t cost, absl::Duration time);
    /** Returns the time in which most answers to such requests are complete, if any is known. */
    std::optional<absl::Duration> expected(const std::string &route, std::int64_t cost) const;

private:
    /** The time of one unit of cost by route. */
    absl::flat_hash_map<std::string, absl::Duration> m_timePerUnit;
};

} // namespace quetzal
