#pragma once

#include "directory/target/target_record.h"
#include "emulator/observation/fleet_observer.h"
#include "emulator/target/target_messages.h"
#include "emulator/target/target_parameters.h"
#include "simulation/event_queue.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quetzal::bench {

/** Faults injected at a target. */
struct target_faults
{
    /** Factor by which all execution times are multiplied. */
    double slowdownFactor = 1.0;
    /** Probability that the target fails a request after executing it. */
    double failureProbability = 0.0;
    /** Probability that the connection breaks after the execution and the answer is lost. */
    double lostAnswerProbability = 0.0;
    /** Probability that a stream is truncated. */
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

/** Emulates a model engine with batches and a prompt cache, or a plain service with slots. */
class emulated_target
{
public:
    emulated_target(event_queue &events, fleet_observer &observer, target_options options);

    const target_record &record() const { return m_options.record; }
    bool isUp() const { return m_isUp; }
    /** True if the target is down and does not close its connections. */
    bool isUnresponsive() const { return !m_isUp && m_isUnresponsive; }
    /** True while the target is cold. */
    bool isCold(absl::Time now) const { return now < m_coldUntil; }
    /**
     * Must be called when the target's record was written to the store. Routers know of a cold
     * target soon after, and must then comply with its limit.
     */
    void onRecordWritten();
    /** Returns the time that a model engine has spent, or is about to, in steps. */
    absl::Duration busyTime() const { return m_busyTime; }
    /** Returns the number of running and queued requests. */
    std::size_t load() const { return m_running.size() + m_queued.size(); }

    /** Receives a request. @param exchange identifies the request for cancel() */
    void receive(std::uint64_t exchange, const target_request &request, reply_sink sink);
    /** Must be called when the router closed the connection of an exchange. */
    void cancel(std::uint64_t exchange);

    void setFaults(const target_faults &faults) { m_faults = faults; }
    /**
     * Sets the prompt parts under which the target crashes, unless they are the last of a prompt,
     * and what is called in place of an answer to such a request.
     */
    void setFatalParts(absl::flat_hash_set<std::uint64_t> parts, std::function<void()> onFatal)
    {
        m_fatalParts = std::move(parts);
        m_onFatal = std::move(onFatal);
    }
    const target_faults &faults() const { return m_faults; }
    /** Marks the target as draining in its record. */
    void setDraining() { m_options.record.isDraining = true; }
    /**
     * Stops the target at once. @param isUnresponsive true if its connections are not closed, so
     * that routers have to detect the loss
     */
    void crash(bool isUnresponsive);
    /** True if the target crashes when it begins to answer a request with this prompt. */
    bool isFatal(const std::vector<prompt_part> &prompt) const;
    /** Starts a new incarnation, which is cold. */
    void restart();
    /** Makes the running target cold. */
    void makeCold();

private:
    struct work_item
    {
        target_request request;
        reply_sink sink;
        std::int64_t remainingPromptTokens = 0;
        /** Tokens in memory: the last prompt part and the generated tokens. */
        std::int64_t heldTokens = 0;
        std::int64_t generatedTokens = 0;
        int sentEvents = 0;
        bool hasSentHead = false;
        bool willBreak = false;
        bool isCrashing = false;
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
    void reject(const target_request &request, int status, const reply_sink &sink) const;
    /** Returns true with this probability. */
    bool drawTrue(double probability);
    /** Crashes soon, in place of beginning to answer the request. */
    void beginFatalAnswer(work_item &item);
    void startColdPeriod();
    void admitQueued();
    void begin(work_item &item);
    /** Starts the execution of a request at a plain service. */
    void startPlain(std::uint64_t exchange);
    /** Starts the next step of a model engine, unless one is in progress. */
    void startStep();
    void finishStep(const absl::flat_hash_map<std::uint64_t, std::int64_t> &readTokens);
    void sendEvents(work_item &item, bool isLast);
    /** Ends the execution of a request and sends the end of its answer. */
    void end(std::uint64_t exchange);
    std::int64_t runningTokens() const;
    /** Returns the tokens of the longest cached prefix of a prompt. */
    std::int64_t cachedPrefixTokens(const std::vector<prompt_part> &prompt) const;
    void addToCache(const prompt_part &part);
    /** Counts uses of prompt parts by running requests; parts in use are not evicted. */
    void setInUse(const work_item &item, bool inUse);
    /** Evicts the least recently used prompt parts until the memory suffices. */
    void evict();

    event_queue &m_events;
    fleet_observer &m_observer;
    target_options m_options;
    target_faults m_faults;
    absl::flat_hash_set<std::uint64_t> m_fatalParts;
    std::function<void()> m_onFatal;
    std::mt19937_64 m_random;
    absl::Time m_coldUntil = absl::InfinitePast();
    /** Time from which routers must comply with the limit of a cold target. */
    absl::Time m_coldLimitAppliesFrom = absl::InfinitePast();
    std::int64_t m_incarnation = 0;
    bool m_isUp = true;
    bool m_isUnresponsive = false;
    bool m_isStepping = false;
    absl::Duration m_busyTime;
    work_map m_running;
    std::deque<std::pair<std::uint64_t, work_item>> m_queued;
    /** Identifiers and tokens of cached prompt parts, the most recently used first. */
    std::list<std::pair<std::uint64_t, std::int64_t>> m_cachedParts;
    absl::flat_hash_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::int64_t>>::iterator>
        m_cachedPartById;
    std::int64_t m_cachedTokens = 0;
    absl::flat_hash_map<std::uint64_t, int> m_partUseCounts;
};

} // namespace quetzal::bench
