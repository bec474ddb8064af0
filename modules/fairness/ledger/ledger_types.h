#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/**
 * One workspace's state at one writer, or its total over all writers.
 *
 * All amounts are virtual charges (amount over share), as fair_order keeps them.
 */
struct ledger_line
{
    std::string workspace;
    /** Writer to home: this writer's cumulative charge. Home to writer: the total of all. */
    double charged = 0.0;
    /** Writer to home: the total that the writer last learned from a home. */
    double totalKnown = 0.0;
    /** Virtual time added to the total, as the home has it or told it together with the total. */
    double lift = 0.0;
    /** The part of the total that is this writer's own charge, as the home had it. */
    double included = 0.0;
    /** Grows with every change of the total, over all homes: the later of two totals has more. */
    std::int64_t totalVersion = 0;
    /** Writer to home: what the writer added to the lift when the workspace became backlogged. */
    double liftRaise = 0.0;

    bool operator==(const ledger_line &) const = default;
};

/** Writer to home: the lines changed since the last acknowledged sequence. */
struct ledger_change
{
    std::string service;
    std::string writer;
    std::int64_t sequence = 0;
    std::vector<ledger_line> lines;
    /** Incarnation of the home as the writer last heard it; 0 when never. */
    std::int64_t homeIncarnation = 0;
    /** Version of the home's last answer that the writer has taken; 0 asks for every total. */
    std::int64_t heardVersion = 0;

    bool operator==(const ledger_change &) const = default;
};

/** Home to writer: totals that changed since this writer last heard. */
struct ledger_answer
{
    std::string service;
    std::string writer;
    std::int64_t homeIncarnation = 0;
    std::int64_t acknowledgedSequence = 0;
    std::vector<ledger_line> lines;
    /** The home's version that the lines bring the writer to. */
    std::int64_t version = 0;

    bool operator==(const ledger_answer &) const = default;
};

/** A writer's name taken apart. */
struct ledger_writer_name
{
    std::string shard;
    std::int64_t epoch = 0;

    bool operator==(const ledger_writer_name &) const = default;
};

/** The name of the writer of a shard in an epoch: "shard#epoch". */
std::string toText(const ledger_writer_name &name);
/** The parts of a writer's name, or nothing when it is not of the form "shard#epoch". */
std::optional<ledger_writer_name> parseLedgerWriterName(std::string_view text);

} // namespace quetzal
