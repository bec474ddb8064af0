#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/**
 * The state of one workspace at one writer, or its total over all writers.
 *
 * All amounts are virtual charges (amount divided by share), as in fair_order.
 */
struct ledger_line
{
    std::string workspace;
    /**
     * From a writer: the cumulative charge of this writer. From a home: the total of all writers.
     */
    double charged = 0.0;
    /** From a writer: the total that the writer last received from a home. */
    double totalKnown = 0.0;
    /**
     * Virtual time added to the total. From a home: its current value. From a writer: the value
     * that the writer last received together with the total.
     */
    double lift = 0.0;
    /** The part of the total that the home attributes to this writer's own charges. */
    double included = 0.0;
    /**
     * Increases with every change of the total, across all homes. Of two totals, the one with the
     * higher version is the more recent.
     */
    std::int64_t totalVersion = 0;
    /**
     * From a writer: the amount by which the writer raised the lift when the workspace became
     * backlogged.
     */
    double liftRaise = 0.0;

    bool operator==(const ledger_line &) const = default;
};

/** A message from a writer to a home: the lines changed since the last acknowledged sequence. */
struct ledger_change
{
    std::string service;
    std::string writer;
    std::int64_t sequence = 0;
    std::vector<ledger_line> lines;
    /** The last incarnation of the home that the writer received; 0 if none. */
    std::int64_t homeIncarnation = 0;
    /** Version of the home's last answer that the writer applied; 0 requests every total. */
    std::int64_t knownHomeVersion = 0;

    bool operator==(const ledger_change &) const = default;
};

/** A message from a home to a writer: the totals that changed since the writer's last answer. */
struct ledger_answer
{
    std::string service;
    std::string writer;
    std::int64_t homeIncarnation = 0;
    std::int64_t acknowledgedSequence = 0;
    std::vector<ledger_line> lines;
    /** The version of the home that the writer has once it has applied the lines. */
    std::int64_t version = 0;

    bool operator==(const ledger_answer &) const = default;
};

/** The parts of a writer's name. */
struct ledger_writer_name
{
    std::string shard;
    std::int64_t epoch = 0;

    bool operator==(const ledger_writer_name &) const = default;
};

/** Returns the name of the writer of a shard in an epoch: "shard#epoch". */
std::string toText(const ledger_writer_name &name);
/**
 * Parses the name of a writer. Returns nothing if the name does not have the form "shard#epoch".
 */
std::optional<ledger_writer_name> parseLedgerWriterName(std::string_view text);

} // namespace quetzal
