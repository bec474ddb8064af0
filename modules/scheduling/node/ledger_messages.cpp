#include "scheduling/node/ledger_messages.h"

namespace quetzal {

namespace {

std::vector<protocol::ledger_entry> toEntries(const std::vector<ledger_line> &lines)
{
    std::vector<protocol::ledger_entry> entries;
    for (const ledger_line &line : lines) {
        protocol::ledger_entry entry;
        entry.workspace = line.workspace;
        entry.charged = line.charged;
        entry.totalKnown = line.totalKnown;
        entry.lift = line.lift;
        entry.included = line.included;
        entry.totalVersion = line.totalVersion;
        entry.liftRaise = line.liftRaise;
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::vector<ledger_line> toLines(const std::vector<protocol::ledger_entry> &entries)
{
    std::vector<ledger_line> lines;
    for (const protocol::ledger_entry &entry : entries)
        lines.push_back({.workspace = entry.workspace,
                         .charged = entry.charged,
                         .totalKnown = entry.totalKnown,
                         .lift = entry.lift,
                         .included = entry.included,
                         .totalVersion = entry.totalVersion,
                         .liftRaise = entry.liftRaise});
    return lines;
}

} // namespace

protocol::ledger_delta toMessage(const ledger_change &change)
{
    protocol::ledger_delta delta;
    delta.serviceName = change.service;
    delta.writer = change.writer;
    delta.sequence = change.sequence;
    delta.entries = toEntries(change.lines);
    delta.homeIncarnation = change.homeIncarnation;
    delta.heardVersion = change.knownHomeVersion;
    return delta;
}

ledger_change fromMessage(const protocol::ledger_delta &delta)
{
    return {.service = delta.serviceName,
            .writer = delta.writer,
            .sequence = delta.sequence,
            .lines = toLines(delta.entries),
            .homeIncarnation = delta.homeIncarnation,
            .knownHomeVersion = delta.heardVersion};
}

protocol::ledger_totals toMessage(const ledger_answer &answer)
{
    protocol::ledger_totals totals;
    totals.serviceName = answer.service;
    totals.homeIncarnation = answer.homeIncarnation;
    totals.acknowledgedSequence = answer.acknowledgedSequence;
    totals.entries = toEntries(answer.lines);
    totals.writer = answer.writer;
    totals.version = answer.version;
    return totals;
}

ledger_answer fromMessage(const protocol::ledger_totals &totals)
{
    return {.service = totals.serviceName,
            .writer = totals.writer,
            .homeIncarnation = totals.homeIncarnation,
            .acknowledgedSequence = totals.acknowledgedSequence,
            .lines = toLines(totals.entries),
            .version = totals.version};
}

} // namespace quetzal
