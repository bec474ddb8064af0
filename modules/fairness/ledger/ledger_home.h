#pragma once

#include "fairness/ledger/ledger_types.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace quetzal {

/** Options of ledger_home. */
struct ledger_home_options
{
    /**
     * How long the contribution of an ended writer is kept separately, so that its late messages
     * can still update it.
     */
    absl::Duration foldDelay = absl::Seconds(30);
    /**
     * Time after which an account is removed if no writer has sent a line for it. If the workspace
     * becomes active again, its writers restore the account.
     */
    absl::Duration idleExpiry = absl::Minutes(5);
};

/**
 * Maintains the totals of the workspaces whose home is this scheduler.
 *
 * Values are cumulative for each writer, so that duplicated and reordered messages are never
 * counted twice. A total is the sum of the charges of the known writers, the charges of the ended
 * writers, and the part of an earlier home's total, as known to the writers, that none of these
 * accounts for. A home that restarts empty, or becomes the home of a workspace, is therefore
 * restored by the lines that the writers send to it.
 */
class ledger_home
{
public:
    /** Creates an empty home. The incarnation must be positive and increase with every restart. */
    explicit ledger_home(std::int64_t incarnation, ledger_home_options options = {});

    /** Applies a writer's change and returns the totals that the writer does not know yet. */
    ledger_answer onChange(const ledger_change &change);
    /** Removes the accounts whose home is now another VM. */
    void retain(const std::function<bool(const std::string &workspace)> &isHome);
    /**
     * Folds the contributions of ended writers into one sum per account and removes idle accounts.
     * Call this about once a second.
     */
    void advance(absl::Time now);

    /** Returns the total of a workspace at this home; 0 if it has no account. */
    double total(const std::string &service, const std::string &workspace) const;
    /** Returns the number of accounts. */
    std::size_t size() const { return m_accounts.size(); }
    /** Returns the number of separately kept writer contributions in all accounts. */
    std::size_t writerCount() const;

private:
    /** The part of an account that belongs to one writer. */
    struct contribution
    {
        std::int64_t epoch = 0;
        double charged = 0.0;
        /** The part of charged that is included in earlierTotal. */
        double inEarlierTotal = 0.0;
    };
    /** The account of one workspace in one service. */
    struct account
    {
        std::map<std::string, contribution> byWriter;
        /** The sums over the writers that have been folded. */
        contribution folded;
        /** The most recent total of an earlier home reported by a writer, and its version. */
        double earlierTotal = 0.0;
        std::int64_t earlierVersion = 0;
        double lift = 0.0;
        /** Number of changes of the total, across all homes that this account has had. */
        std::int64_t totalVersion = 0;
        /** The version of this home at the last change of the account. */
        std::int64_t version = 0;
        absl::Time lastReceived;

        double total() const;
        /** Takes over the total of an earlier home that a new writer reports, if it is newer. */
        void adoptEarlierTotal(contribution &own, const ledger_line &line);
    };
    /** The newest epoch of a shard, and when it was first received. */
    struct shard_state
    {
        std::int64_t epoch = 0;
        absl::Time since;
    };
    struct writer_state
    {
        std::int64_t lastSequence = 0;
        absl::Time lastReceived;
    };
    using key = std::pair<std::string, std::string>;

    void recordEpoch(const key &shard, std::int64_t epoch);
    bool isFolded(const key &shard, std::int64_t epoch) const;
    void applyLine(const ledger_change &change, std::int64_t epoch, const ledger_line &line);
    ledger_answer answer(const ledger_change &change, std::int64_t acknowledged) const;
    void foldEndedWriters(const key &name, account &entry) const;

    std::int64_t m_incarnation;
    ledger_home_options m_options;
    absl::Time m_now = absl::InfinitePast();
    std::int64_t m_version = 0;
    std::map<key, account> m_accounts;
    /** The newest epoch received of each shard, by service and shard. */
    std::map<key, shard_state> m_shards;
    std::map<key, writer_state> m_writers;
};

} // namespace quetzal
