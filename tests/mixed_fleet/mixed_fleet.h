#pragma once

#include "emulator/emulator.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace quetzal::bench {

/** Targets of mixed_fleet that are down for some time. */
struct target_outage
{
    int targets = 0;
    /** Times since the start of the load. */
    absl::Duration from;
    absl::Duration until;
};

/** Options of mixed_fleet. */
struct mixed_fleet_options
{
    std::uint64_t seed = 1;
    int vms = 72;
    int targets = 20;
    absl::Duration loadDuration = absl::Seconds(20);
    /** When some workspaces ask for many times their usual. */
    std::vector<load_change> changes;
    /** The workspaces whose callers, and their repeats, all connect to one VM. */
    std::vector<std::size_t> singleVmWorkspaces;
    target_outage outage;
};

/** A large fleet in which 30 workspaces of different sizes send three classes of model requests. */
class mixed_fleet
{
public:
    static constexpr int workspaces = 30;

    /** Plays the whole load. */
    explicit mixed_fleet(const mixed_fleet_options &options);

    /** Returns the spans of a part of the load in which a workspace was kept short. */
    std::vector<share_violation> violations(absl::Duration from, absl::Duration until);
    /** Returns the margins of a part of the load, the lowest first. */
    std::vector<share_margin> margins(absl::Duration from, absl::Duration until);
    /** True if the workspace asks for many times its usual at some time. */
    bool isGreedy(std::size_t workspace) const;
    /**
     * Returns for each second of the load which part of it the targets were busy, without those
     * that were down in it or are cold at its end.
     */
    const std::vector<double> &busyFractions() const { return m_busyFractions; }
    /** Returns which part of the requests that callers sent first in a second was refused. */
    double refusedFraction(int second) const;
    const caller_population &callers() const { return m_callers; }

private:
    static load_plan loadOf(const mixed_fleet_options &options);
    static fleet_plan planOf(const mixed_fleet_options &options, const load_plan &load);
    void scheduleOutage(const target_outage &outage);
    /** Measures the second that ends now. */
    void measureSecond();

    event_queue m_events;
    invariant_checker m_invariants;
    load_plan m_load;
    emulated_fleet m_fleet;
    caller_population m_callers;
    std::vector<absl::Duration> m_busyTimes;
    std::vector<bool> m_wasUp;
    std::vector<double> m_busyFractions;
};

} // namespace quetzal::bench
