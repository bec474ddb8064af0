#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace quetzal {

/** Options of connection_budget. */
struct connection_budget_options
{
    /** Maximum number of connections in use at once. */
    std::size_t maxConnections = 256;
    /** Maximum number of connections that one workspace may use at once. */
    std::size_t maxPerWorkspace = 64;

    bool operator==(const connection_budget_options &) const = default;
};

/**
 * Limits the number of connections in use, in total and per workspace.
 *
 * The limit per workspace keeps slow callers of one workspace from using up the connections of all
 * others. Not thread-safe; performs no I/O.
 */
class connection_budget
{
public:
    explicit connection_budget(connection_budget_options options);

    /**
     * Acquires a connection for the workspace. Returns false if the workspace or the total has
     * reached its limit.
     */
    bool tryAcquire(const std::string &workspace);
    /** Releases a connection that tryAcquire() acquired for the workspace. */
    void release(const std::string &workspace);

    /** Returns the total number of connections in use. */
    std::size_t used() const { return m_used; }
    /** Returns the number of connections that the workspace uses. */
    std::size_t usedBy(const std::string &workspace) const;

private:
    connection_budget_options m_options;
    std::map<std::string, std::size_t> m_usedBy;
    std::size_t m_used = 0;
};

} // namespace quetzal
