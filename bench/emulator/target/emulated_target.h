#pragma once

#include "directory/target/target_record.h"
#include "emulator/account/fleet_observer.h"
#include "emulator/target/target_messages.h"
#include "emulator/target/target_parameters.h"
#include "simulation/event_queue.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <variant>

namespace quetzal::bench {

/** What goes wrong at a target. */
struct target_faults
{
    /** All its work takes this many times as long. */
    double slowdownFactor = 1.0;
    /** The part of its requests that it fails after running them. */
    double failureProbability = 0.0;
    /** The part of its answers that are lost after the run, with the connection. */
    double lostAnswerProbability = 0.0;
    /** The part of its streams that break off. */
    double brokenStreamProbability = 0.0;

    bool operator==(const target_faults &) const = default;
};

/** Options of emulated_target. */
struct target_options
{
    target_record record;
    std::variant<engine_parameters, plain_parameters> parameters;
    cold_parameters cold;
    std::uint64_t seed = 0;
};

/** One target: a model engine with batches and a prompt cache, or a plain service with slots. */
class emulated_target
{
public:
    emulated_target(event_queue &events, fleet_observer &observer, target_options options);

    const target_record &record() const { return m_options.record; }
    bool isUp() const { return m_isUp; }
    /** True when it is down and nothing is heard from it. */
    bool isUnresponsive() const { return !m_isUp && m_isUnresponsive; }
    bool isCold(absl::Time now) const { return now < m_coldUntil; }
    /** Its record, which says so, was written; routers must know soon after. */
    void onRecordWritten();
    /** Requests running and waiting. */
    std::size_t load() const { return m_running.size() + m_waiting.size(); }

    /** A request arrived; exchange tells it apart for cancel(). */
    void receive(std::uint64_t exchange, const target_request &request, reply_sink sink);
    /** The connection of an exchange was closed by its router. */
    void cancel(std::uint64_t exchange);

    void setFaults(const target_faults &faults) { m_faults = faults; }
    const target_faults &faults() const { return m_faults; }
    /** Announces that it will stop. */
    void setDraining() { m_options.record.isDraining = true; }
    /** Ends at once; isUnresponsive: its connections are not closed. */
    void crash(bool isUnresponsive);
    /** Starts a new life, cold. */
    void restart();
    /** Turns cold although it goes on. */
    void makeCold();

private:
    struct work_item
    {
        target_request request;
        reply_sink sink;
        std::int64_t remainingPromptTokens = 0;
        std::int64_t heldTokens = 0;
        std::int64_t generatedTokens = 0;
        int sentEvents = 0;
        bool hasBegun = false;
        bool willBreak = false;
    };
    using work_map = absl::btree_map<std::uint64_t, work_item>;

    const engine_parameters *engine() const
    {
        return std::get_if<engine_parameters>(&m_options.parameters);
    }
    int slots() const;
    int queue() const;
    answer_description describe(const target_request &request, int status,
                                bool isNotExecuted) const;
    void refuse(const target_request &request, int status, const reply_sink &sink) const;
    bool drawTrue(double probability);
    void startColdPeriod();
    void admitWaiting();
    void begin(work_item &item);
    void startPlain(std::uint64_t exchange);
    void startStep();
    void finishStep(const absl::flat_hash_map<std::uint64_t, std::int64_t> &readTokens);
    void sendEvents(work_item &item, bool isLast);
    void end(std::uint64_t exchange);
    std::int64_t runningTokens() const;
    std::int64_t cachedPrefixTokens(const std::vector<prompt_part> &prompt) const;
    void addToCache(const prompt_part &part);
    /** Parts of running requests do not yield. */
    void setInUse(const work_item &item, bool inUse);
    void evict();

    event_queue &m_events;
    fleet_observer &m_observer;
    target_options m_options;
    target_faults m_faults;
    std::mt19937_64 m_random;
    absl::Time m_coldUntil = absl::InfinitePast();
    /** From when on routers must keep to the limit of a cold target. */
    absl::Time m_coldLimitAppliesFrom = absl::InfinitePast();
    std::int64_t m_incarnation = 0;
    bool m_isUp = true;
    bool m_isUnresponsive = false;
    bool m_isStepping = false;
    work_map m_running;
    std::deque<std::pair<std::uint64_t, work_item>> m_waiting;
    /** Kept prompt parts with their tokens, the least recently used last. */
    std::list<std::pair<std::uint64_t, std::int64_t>> m_cachedParts;
    absl::flat_hash_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::int64_t>>::iterator>
        m_cachedPartById;
    std::int64_t m_cachedTokens = 0;
    absl::flat_hash_map<std::uint64_t, int> m_partUseCounts;
};

} // namespace quetzal::bench
