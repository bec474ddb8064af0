#include "routing/node/shard_tickets.h"

#include "foundation/errors/precondition.h"

#include <algorithm>
#include <utility>

namespace quetzal {

shard_tickets::shard_tickets(std::string shard)
    : m_shard(std::move(shard))
{
}

void shard_tickets::observeEpoch(std::int64_t epoch)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_highestTicket = 0;
    m_highestReported = 0;
    for (auto &[key, entry] : m_running)
        entry.reported = false;
    for (reported_outcome &item : m_outcomes)
        item.firstSequence = 0;
}

grant_reception shard_tickets::receive(const protocol::grant &content)
{
    if (content.epoch < m_epoch)
        return grant_reception::Fenced;
    observeEpoch(content.epoch);
    if (content.ticket <= m_highestTicket)
        return grant_reception::Duplicate;
    m_highestTicket = content.ticket;
    return grant_reception::Accepted;
}

void shard_tickets::revoke(const protocol::revocation &content)
{
    if (content.epoch < m_epoch)
        return;
    observeEpoch(content.epoch);
    m_highestTicket = std::max(m_highestTicket, content.ticket);
}

void shard_tickets::begin(const protocol::grant &content, const request_description &request)
{
    protocol::running_ticket running;
    running.epoch = content.epoch;
    running.ticket = content.ticket;
    running.target = content.target;
    running.workspace = content.workspace;
    running.requestKind = request.requestKind;
    running.hint = request.hint;
    running.units = 0.0;
    m_running.insert_or_assign({content.epoch, content.ticket}, running_entry {std::move(running)});
}

void shard_tickets::setUnits(const ticket_reference &ticket, double units)
{
    const auto found = m_running.find({ticket.epoch, ticket.ticket});
    if (found != m_running.end())
        found->second.ticket.units = units;
}

void shard_tickets::end(const ticket_reference &ticket, protocol::ticket_end ending,
                        const attempt_result &result)
{
    const auto found = m_running.find({ticket.epoch, ticket.ticket});
    QUETZAL_PRECONDITION(found != m_running.end());

    protocol::ticket_outcome outcome;
    outcome.epoch = ticket.epoch;
    outcome.ticket = ticket.ticket;
    outcome.target = found->second.ticket.target;
    outcome.workspace = found->second.ticket.workspace;
    outcome.ending = ending;
    outcome.requestKind = found->second.ticket.requestKind;
    outcome.hint = found->second.ticket.hint;
    outcome.units = result.units;
    outcome.signal = result.signal;
    outcome.targetInstance = result.targetInstance;
    m_running.erase(found);
    m_outcomes.push_back({std::move(outcome)});
}

void shard_tickets::returnUnused(const protocol::grant &content)
{
    protocol::ticket_outcome outcome;
    outcome.epoch = content.epoch;
    outcome.ticket = content.ticket;
    outcome.target = content.target;
    outcome.workspace = content.workspace;
    outcome.ending = protocol::ticket_end::ReturnedUnused;
    outcome.signal = protocol::target_signal::None;
    m_outcomes.push_back({std::move(outcome)});
}

protocol::shard_usage shard_tickets::completeUsage(std::int64_t sequence)
{
    protocol::shard_usage result = emptyUsage();
    for (auto &[key, entry] : m_running) {
        entry.reported = true;
        result.running.push_back(entry.ticket);
    }
    for (reported_outcome &item : m_outcomes) {
        if (item.firstSequence == 0)
            item.firstSequence = sequence;
        result.outcomes.push_back(item.outcome);
    }
    m_highestReported = m_highestTicket;
    return result;
}

protocol::shard_usage shard_tickets::unreportedUsage(std::int64_t sequence)
{
    protocol::shard_usage result = emptyUsage();
    for (auto &[key, entry] : m_running) {
        if (!std::exchange(entry.reported, true))
            result.running.push_back(entry.ticket);
    }
    for (reported_outcome &item : m_outcomes) {
        if (item.firstSequence != 0)
            continue;
        item.firstSequence = sequence;
        result.outcomes.push_back(item.outcome);
    }
    m_highestReported = m_highestTicket;
    return result;
}

bool shard_tickets::hasUnreported() const
{
    return m_highestTicket != m_highestReported
        || std::any_of(m_outcomes.begin(), m_outcomes.end(),
                       [](const reported_outcome &item) { return item.firstSequence == 0; });
}

protocol::shard_usage shard_tickets::emptyUsage() const
{
    protocol::shard_usage result;
    result.shard = m_shard;
    result.epochKnown = m_epoch;
    result.highestTicket = m_highestTicket;
    return result;
}

void shard_tickets::acknowledge(std::int64_t sequence)
{
    std::erase_if(m_outcomes, [sequence](const reported_outcome &item) {
        return item.firstSequence != 0 && item.firstSequence <= sequence;
    });
}

} // namespace quetzal
