#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** One workspace's state at one writer, or its total over all writers. */
struct ledger_line
{
    std::string workspace;
    /** Writer to home: this writer's cumulative charge. Home to writer: the total of all. */
    double charged = 0.0;
    /** Largest total that the writer has learned from the home. */
    double totalKnown = 0.0;
    /** Virtual time added when the workspace became backlogged. */
    double lift = 0.0;

    bool operator==(const ledger_line &) const = default;
};

/** Writer to home: the lines changed since the last acknowledged sequence. */
struct ledger_change
{
    std::string service;
    std::string writer;
    std::int64_t sequence = 0;
    std::vector<ledger_line> lines;

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

    bool operator==(const ledger_answer &) const = default;
};

} // namespace quetzal
