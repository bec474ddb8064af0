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
    /** How long the account of an ended writer is kept apart, for its late messages. */
    absl::Duration foldDelay = absl::Seconds(30);
    /** How long an account of which no writer speaks is kept; its writers refill it later. */
    absl::Duration idleExpiry = absl::Minutes(5);
};

/**
 * Keeps the totals of the workspaces of which this scheduler is the home.
 *
 * Values are cumulative for each writer, so that repeats and reordering never count twice. A
 * total is what the known writers have charged, plus the ended writers' charges, plus what the
 * writers knew of an earlier home's total that none of these accounts for. So a home that
 * restarts empty, or becomes the home of a workspace, is refilled by the lines that the writers
 * send to it.
 */
class ledger_home
{
public:
    /** The incarnation must be positive and grow with every restart. */
    explicit ledger_home(std::int64_t incarnation, ledger_home_options options = {});

    /** Takes a writer's change and returns what the writer does not know yet. */
    ledger_answer onChange(const ledger_change &change);
    /** Forgets the accounts of which another VM is the home now. */
    void retain(const std::function<bool(const std::string &workspace)> &isHome);
    /** Folds ended writers and forgets idle accounts; to be called about once a second. */
    void advance(absl::Time now);

    /** The total of a workspace as this home knows it; 0 when it knows none. */
    double total(const std::string &service, const std::string &workspace) const;
    /** Accounts held now. */
    std::size_t size() const { return m_accounts.size(); }
    /** Writers kept apart over all accounts. */
    std::size_t writerCount() const;

private:
    /** One writer's part of an account. */
    struct contribution
    {
        std::int64_t epoch = 0;
        double charged = 0.0;
        /** The part of charged that the earlier total includes. */
        double inEarlierTotal = 0.0;
    };
    struct account
    {
        std::map<std::string, contribution> byWriter;
        /** The sums over the writers that have been folded. */
        contribution folded;
        /** The newest total of an earlier home that a writer has told, and its version. */
        double earlierTotal = 0.0;
        std::int64_t earlierVersion = 0;
        double lift = 0.0;
        /** Changes of the total, over all homes that this account has had. */
        std::int64_t totalVersion = 0;
        /** The home's version at the last change. */
        std::int64_t version = 0;
        absl::Time lastReceived;

        double total() const;
        void adoptEarlierTotal(contribution &own, const ledger_line &line);
    };
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
    /** Newest epoch heard of each service's shards. */
    std::map<key, shard_state> m_shards;
    std::map<key, writer_state> m_writers;
};

} // namespace quetzal
