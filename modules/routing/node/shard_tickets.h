#pragma once

#include "protocol/messages/message.h"
#include "routing/request/request_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** How the router classifies a received grant. */
enum class grant_reception
{
    /** New and of the highest epoch. */
    Accepted,
    /** Of a lower epoch than the highest seen. */
    Fenced,
    /** Already received, or out of order after a later ticket that was received or revoked. */
    Duplicate,
};

/**
 * Tracks the tickets that this router holds of one shard: its epoch, running tickets and the
 * outcomes that the owner has not yet acknowledged.
 *
 * Provides the shard_usage of each report. A ticket up to highestTicket that is in neither list is
 * not in use and never will be, so the owner can free its slot.
 */
class shard_tickets
{
public:
    explicit shard_tickets(std::string shard);

    /** Records that the shard has an owner with this epoch. */
    void observeEpoch(std::int64_t epoch);
    /** Accepts the ticket of a grant unless it is fenced or a duplicate. */
    grant_reception receive(const protocol::grant &content);
    /** Revokes a ticket: if its grant is received later, it counts as a duplicate. */
    void revoke(const protocol::revocation &content);
    /** Records that a ticket is used for a request. */
    void begin(const protocol::grant &content, const request_description &request);
    /** Records the units that a running ticket has streamed so far. */
    void setUnits(const ticket_reference &ticket, double units);
    /** Records the end of a running ticket. */
    void end(const ticket_reference &ticket, protocol::ticket_end ending,
             const attempt_result &result);
    /** Returns a received ticket to the owner unused. */
    void returnUnused(const protocol::grant &content);

    /** Returns the complete usage; sequence is the report's. */
    protocol::shard_usage completeUsage(std::int64_t sequence);
    /** Returns only what no report of this epoch contained yet; sequence is the report's. */
    protocol::shard_usage unreportedUsage(std::int64_t sequence);
    /** Discards the outcomes of all reports up to this sequence, which the owner has received. */
    void acknowledge(std::int64_t sequence);

    std::int64_t epochKnown() const { return m_epoch; }
    /** True if there are tickets or outcomes that no report of this epoch contained. */
    bool hasUnreported() const;
    /** True if nothing is running and nothing is left to report. */
    bool isIdle() const { return m_running.empty() && m_outcomes.empty(); }

private:
    struct reported_outcome
    {
        protocol::ticket_outcome outcome;
        /** Sequence of the first report to the current owner with this outcome; 0 for none. */
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
