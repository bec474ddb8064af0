#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace quetzal {

/** Options of connection_budget. */
struct connection_budget_options
{
    /** Connections in use at once. */
    std::size_t maxConnections = 256;
    /** Connections that one workspace may use at once. */
    std::size_t maxPerWorkspace = 64;

    bool operator==(const connection_budget_options &) const = default;
};

/**
 * Counts the connections in use by each workspace, so that slow callers of one workspace leave
 * room for the others. Not thread-safe; without I/O.
 */
class connection_budget
{
public:
    explicit connection_budget(connection_budget_options options);

    /** Takes one connection for the workspace; false when it or the whole has no room left. */
    bool tryAcquire(const std::string &workspace);
    /** Gives back one connection that tryAcquire() took. */
    void release(const std::string &workspace);

    std::size_t used() const { return m_used; }
    std::size_t usedBy(const std::string &workspace) const;

private:
    connection_budget_options m_options;
    std::map<std::string, std::size_t> m_usedBy;
    std::size_t m_used = 0;
};

} // namespace quetzal
