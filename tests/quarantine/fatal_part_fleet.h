#pragma once

#include "emulator/emulator.h"

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace quetzal::bench {

/** Options of fatal_part_fleet. */
struct fatal_part_options
{
    int vms = 6;
    std::uint64_t seed = 1;
    /** The prompt parts under which targets crash. */
    std::vector<std::uint64_t> fatalParts;
    /** Requests per second, of all classes. */
    double requestsPerSecond = 60.0;
    /** Fraction of the requests of each class that have a fatal part. */
    double fatalFraction = 0.05;
    /** Position of the fatal part in the prompt; 0 makes it the first. */
    std::size_t position = 1;
    double lostDigestFraction = 0.0;
    /** How long requests with a fatal part come; they begin 3 s after the load. */
    absl::Duration fatalDuration = absl::Seconds(15);
};

/** A fleet whose model engines crash under requests with some prompt parts. */
class fatal_part_fleet
{
public:
    /** The bound of the users for what all VMs know of each other. */
    static constexpr absl::Duration contactTime = absl::Seconds(3);
    /** How many crashes the fleet may need to find a fatal part. */
    static constexpr std::size_t crashesToFind = 5;
    static constexpr absl::Duration fatalFrom = absl::Seconds(3);

    explicit fatal_part_fleet(const fatal_part_options &options);

    void run(absl::Duration duration) { m_events.runUntil(m_events.now() + duration); }
    event_queue &events() { return m_events; }
    emulated_fleet &fleet() { return *m_fleet; }
    caller_population &callers() { return *m_callers; }
    invariant_checker &invariants() { return m_invariants; }

    /** Returns the number of requests with a fatal part that were sent to targets after a time. */
    std::size_t fatalSendsAfter(absl::Time time) const;
    /** Returns all parts that any router held at any time. */
    const absl::btree_set<part_id> &everHeld() const { return m_everHeld; }
    /** True if each running router holds the part. */
    bool isHeldByAll(part_id part);
    /** Returns the served fraction of the requests that were sent within [from, to). */
    double servedFraction(absl::Time from, absl::Time to) const;
    absl::Time loadStartedAt() const { return m_callers->startedAt(); }
    /** Returns the time from which such requests count; infinite before the fifth crash. */
    absl::Time boundAt() const;

private:
    /** Adds what the routers hold now to everHeld(). */
    void recordHeld();

    event_queue m_events;
    invariant_checker m_invariants;
    std::unique_ptr<emulated_fleet> m_fleet;
    std::unique_ptr<caller_population> m_callers;
    absl::btree_set<part_id> m_everHeld;
};

} // namespace quetzal::bench
