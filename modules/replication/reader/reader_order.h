#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/**
 * The order in which the routers of a fleet take over reading one prefix of the key-value service.
 *
 * Routers that know the same members agree on it without communication. The order differs between
 * prefixes, so that different routers read them.
 */
class reader_order
{
public:
    /** Creates the order as this router knows it while it knows no others. */
    reader_order(std::string prefix, std::string self);

    /** Replaces the routers of the fleet; this router always counts as one. */
    void setRouters(const std::vector<std::string> &members);
    /** Returns the number of routers, this one included. */
    std::size_t routerCount() const { return m_routerCount; }
    /** Returns the position of this router; the first one always reads. */
    std::size_t rank() const { return m_rank; }
    /** True if the other router reads in preference to this one. */
    bool precedes(const std::string &vm) const;
    /** Returns how long the routers that precede this one must be silent before it reads. */
    absl::Duration takeoverDelay() const;

private:
    std::string m_prefix;
    std::string m_self;
    std::uint64_t m_ownWeight = 0;
    std::size_t m_rank = 0;
    std::size_t m_routerCount = 1;
};

} // namespace quetzal
