#pragma once

#include "protocol/messages/message.h"
#include "routing/request/request_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** What the router does with a grant that has arrived. */
enum class grant_reception
{
    /** New and of the highest epoch. */
    Accepted,
    /** Of an epoch lower than one already seen. */
    Fenced,
    /** Already received, or overtaken by a later ticket that the owner was told of. */
    Duplicate,
};

/**
 * Everything that this router holds of one shard: the epoch, running tickets, unreported ends.
 *
 * The book is the source of the shard_usage in each report. A ticket not above highestTicket that
 * is in neither list is not in use and will never be, which lets the owner free its slot.
 */
class shard_tickets
{
public:
    explicit shard_tickets(std::string shard);

    /** Notes that the shard has an owner with this epoch. */
    void observeEpoch(std::int64_t epoch);
    /** Takes the ticket of a grant into the book unless it is fenced or repeated. */
    grant_reception receive(const protocol::grant &content);
    /** The ticket will not be used: when it arrives later it counts as repeated. */
    void revoke(const protocol::revocation &content);
    /** The ticket is used for a request. */
    void begin(const protocol::grant &content, const request_description &request);
    /** Units streamed so far by a running ticket. */
    void setUnits(const ticket_reference &ticket, double units);
    /** A running ticket ended. */
    void end(const ticket_reference &ticket, protocol::ticket_end ending,
             const attempt_result &result);
    /** A received ticket is given back unused. */
    void returnUnused(const protocol::grant &content);

    /** Everything of this shard; sequence is the report's. */
    protocol::shard_usage completeUsage(std::int64_t sequence);
    /** Only what no report of this epoch has carried yet; sequence is the report's. */
    protocol::shard_usage unreportedUsage(std::int64_t sequence);
    /** The owner has received every report up to this sequence. */
    void acknowledge(std::int64_t sequence);

    std::int64_t epochKnown() const { return m_epoch; }
    /** True when unreportedUsage() would carry something. */
    bool hasUnreported() const;
    /** Nothing is running and nothing is left to report. */
    bool isIdle() const { return m_running.empty() && m_outcomes.empty(); }

private:
    struct reported_outcome
    {
        protocol::ticket_outcome outcome;
        /** Sequence of the first report to the present owner with this outcome; 0 for none. */
        std::int64_t firstSequence = 0;
    };
    using ticket_key = std::pair<std::int64_t, std::int64_t>;

    std::string m_shard;
    std::int64_t m_epoch = 0;
    std::int64_t m_highestTicket = 0;
    struct running_entry
    {
        protocol::running_ticket ticket;
        bool reported = false;
    };

    protocol::shard_usage emptyUsage() const;

    std::map<ticket_key, running_entry> m_running;
    std::int64_t m_highestReported = 0;
    std::vector<reported_outcome> m_outcomes;
};

} // namespace quetzal
