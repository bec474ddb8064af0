#pragma once

#include "fairness/ledger/ledger_types.h"

#include <cstdint>
#include <map>
#include <string>

namespace quetzal {

/**
 * Keeps the totals of the workspaces of which this scheduler is the home.
 *
 * Values are cumulative for each writer, so that repeats and reordering never count twice.
 */
class ledger_home
{
public:
    explicit ledger_home(std::int64_t incarnation);

    /** Takes a writer's change and returns what the writer does not know yet. */
    ledger_answer onChange(const ledger_change &change);

private:
    struct account
    {
        std::map<std::string, double> chargedByWriter;
        /** What the total exceeds the sum of the known writers by, after a restart. */
        double base = 0.0;
        double lift = 0.0;
        std::int64_t version = 0;
    };

    std::int64_t m_incarnation;
    std::int64_t m_version = 0;
    std::map<std::pair<std::string, std::string>, account> m_accounts;
    std::map<std::pair<std::string, std::string>, std::int64_t> m_heardVersions;
};

} // namespace quetzal
