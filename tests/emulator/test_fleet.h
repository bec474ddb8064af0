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
    /** Load relative to the regular load, which is well below the capacity of the targets. */
    double load = 1.0;
    int vms = 4;
    bool hasExchange = true;
    double abandoningFraction = 0.05;
};

/** A small emulated fleet with callers and a checker of its invariants. */
class test_fleet
{
public:
    explicit test_fleet(const test_fleet_options &options);

    event_queue &events() { return m_events; }
    emulated_fleet &fleet() { return *m_fleet; }
    invariant_checker &invariants() { return *m_invariants; }
    caller_population &callers() { return *m_callers; }

    void run(absl::Duration duration);
    /** Runs the faults until all of them have ended, then restarts all targets and VMs. */
    void runFaults(const std::vector<fault> &faults);
    /** Stops the load, lets all requests end and returns the violations of invariants. */
    std::vector<std::string> finish();
    /** Returns the sums over the requests sent since a time. */
    service_sum servedSince(absl::Time from) const;
    /** Records a violation for each router that is not ready or has a stale configuration. */
    void checkSettled();

private:
    /** Records a violation for each router that returns to an older configuration. */
    void checkVersions();

    event_queue m_events;
    std::unique_ptr<invariant_checker> m_invariants;
    std::unique_ptr<emulated_fleet> m_fleet;
    std::unique_ptr<caller_population> m_callers;
    /** The newest configuration version that was in effect in each process. */
    absl::flat_hash_map<const emulated_router *, std::int64_t> m_versions;
};

} // namespace quetzal::bench
