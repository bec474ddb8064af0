#pragma once

#include "emulator/emulator.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Options of test_fleet. */
struct test_fleet_options
{
    std::uint64_t seed = 1;
    /** Times the usual load, which the targets bear with ease. */
    double load = 1.0;
    int vms = 4;
    bool hasExchange = true;
    double abandoningFraction = 0.05;
};

/** A small emulated fleet with callers and the oracle. */
class test_fleet
{
public:
    explicit test_fleet(const test_fleet_options &options);

    event_queue &events() { return m_events; }
    emulated_fleet &fleet() { return *m_fleet; }
    invariant_checker &invariants() { return *m_invariants; }
    caller_population &callers() { return *m_callers; }

    void run(absl::Duration duration);
    /** Plays faults until all of them are over and everything runs again. */
    void runFaults(const std::vector<fault> &faults);
    /** Lets all requests end and returns every broken promise. */
    std::vector<std::string> finish();
    /** What callers got of requests sent since a moment. */
    service_sum servedSince(absl::Time from) const;
    /** Reports routers that are not ready, or have an old configuration in force. */
    void checkSettled();

private:
    void checkVersions();

    event_queue m_events;
    std::unique_ptr<invariant_checker> m_invariants;
    std::unique_ptr<emulated_fleet> m_fleet;
    std::unique_ptr<caller_population> m_callers;
    /** The newest version that each process had in force. */
    absl::flat_hash_map<const emulated_router *, std::int64_t> m_versions;
};

} // namespace quetzal::bench
