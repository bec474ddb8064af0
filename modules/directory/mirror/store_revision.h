#pragma once

#include <cstdint>

namespace quetzal {

/**
 * Revisions of the key-value service as the routers use them.
 *
 * A service that is restored from an older copy continues at a lower revision and gives revisions
 * out again; its era rises by one then. The era makes up the high digits of a revision here, so
 * that each state of the service is newer than all states of earlier eras, in replicas as well as
 * in all that routers tell each other.
 */
inline constexpr std::int64_t revisionsPerEra = std::int64_t {1} << 40U;
/** The number of eras whose revisions all writers of JSON represent exactly. */
inline constexpr std::int64_t eraCount = std::int64_t {1} << 13U;

/** Returns the revision that the service gave in an era. */
constexpr std::int64_t revisionInEra(std::int64_t era, std::int64_t serviceRevision)
{
    return era * revisionsPerEra + serviceRevision;
}

/** Returns the era of a revision. */
constexpr std::int64_t eraOf(std::int64_t revision)
{
    return revision / revisionsPerEra;
}

/** Returns the revision as the service itself knows it. */
constexpr std::int64_t serviceRevision(std::int64_t revision)
{
    return revision % revisionsPerEra;
}

} // namespace quetzal
