#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzal {

/** Whom a router requests a change from that it has missed. */
enum class change_source
{
    /** The router that told of the change. */
    Sender,
    /** Another router, which may have got the change meanwhile. */
    Peer,
    /** The key-value service. */
    Service,
};

/**
 * A change that other routers have and this one has not, from when it was told until it has the
 * change or the service does not know of it.
 *
 * The sources are asked by turns without end, so that one that fails, hangs or is not ahead itself
 * never keeps the router from the others.
 */
class missed_change
{
public:
    /** @param host the host of the router that has the change; empty if it is not known */
    missed_change(std::int64_t revision, std::string host, absl::Time now);

    /** Must be called when another router tells of this change or a later one. */
    void onTold(std::int64_t revision, const std::string &host);
    /** Must be called when a source did not deliver the change. */
    void onSourceFailed() { ++m_failedSources; }

    /** Returns the source to ask next, in a fleet of this many routers. */
    change_source source(std::size_t routerCount) const;
    /** Returns the host to ask if the source is the sender; else it is empty. */
    std::string host() const { return m_failedSources == 0 ? m_host : std::string(); }
    std::int64_t revision() const { return m_revision; }
    /** Returns when this router was first told. */
    absl::Time since() const { return m_since; }

private:
    std::int64_t m_revision;
    std::string m_host;
    absl::Time m_since;
    /** The number of sources that were asked and did not deliver the change. */
    std::size_t m_failedSources = 0;
};

} // namespace quetzal
