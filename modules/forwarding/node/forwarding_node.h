#pragma once

#include "budgets/cold/cold_start_limiter.h"
#include "budgets/retry/shared_retry_budget.h"
#include "directory/target/target_directory.h"
#include "exchange/view/fleet_view.h"
#include "forwarding/node/forwarding_types.h"
#include "forwarding/node/service_speed.h"
#include "forwarding/node/workspace_accounts.h"
#include "forwarding/request/request_description.h"
#include "forwarding/route/route_table.h"
#include "placement/cache/prompt_cache_view.h"
#include "placement/load/target_load.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** Decides for each request of one router whether it is served, and by which target. */
class forwarding_node
{
public:
    explicit forwarding_node(forwarding_options options);

    /** Puts a version of the configuration in force; false when it is not newer than the last. */
    bool setRoutes(std::shared_ptr<const route_table> table);
    const std::shared_ptr<const route_table> &routes() const { return m_table; }
    void setRouters(router_group routers) { m_options.routers = std::move(routers); }
    /** Puts changed limits of the fleet in force. */
    void setFleetLimits(const fleet_limits &limits);
    const router_group &routers() const { return m_options.routers; }

    target_directory &directory() { return m_directory; }
    const target_directory &directory() const { return m_directory; }
    /** A record was written; wasListedAtStart: it stood in the first listing. */
    void applyTarget(const target_record &record, bool wasListedAtStart, absl::Time now);
    void removeTarget(const std::string &id, absl::Time now);
    void setEvacuated(const absl::flat_hash_set<std::string> &dataCentres, absl::Time now);

    /** Checks a request against the configuration in force. */
    std::variant<admitted_request, rejection> admit(const request_description &request,
                                                    absl::Time arrivedAt) const;
    /** A request was admitted and counts for its service's budget of repeats. */
    void onAdmitted(const admitted_request &request, const request_description &description,
                    absl::Time now);
    /**
     * Chooses a target and counts the request there under this number; the targets in excluded are
     * passed over.
     */
    std::variant<placement, rejection> place(std::uint64_t number, const admitted_request &request,
                                             const request_description &description,
                                             const absl::flat_hash_set<std::string> &excluded,
                                             absl::Time now);
    /** Takes a repeat from the budget of the service; false when there is none. */
    bool trySpendRetry(const std::string &service, absl::Time now);

    void onAnswerBegan(std::uint64_t number, const std::string &target, absl::Time now);
    void onEnded(std::uint64_t number, const std::string &target, exchange_end end, absl::Time now);
    void onReport(const std::string &target, const reported_load &report);

    /**
     * What the other routers are told now; lastChangeRevisions: of the prefixes of the store. The
     * prompts of a digest are told once.
     */
    load_digest makeDigest(std::vector<std::int64_t> lastChangeRevisions, absl::Time now);
    /** Another router told of its work. */
    void onDigest(const load_digest &digest, absl::Time now);
    const fleet_view &fleet() const { return m_fleet; }

private:
    struct open_request
    {
        std::string service;
        bool isModelRequest = false;
        bool wasTargetIdle = false;
        std::int64_t missingTokens = 0;
        absl::Time sentAt;
    };
    struct target_view
    {
        target_load load;
        std::unique_ptr<prompt_cache_view> cache;
    };
    /** A candidate with what is needed once it is chosen. */
    struct candidate_details
    {
        const target_state *state = nullptr;
        std::int64_t missingTokens = 0;
    };

    /** The targets that may get a request; both lists have the same order. */
    struct candidate_set
    {
        std::vector<target_candidate> candidates;
        std::vector<candidate_details> details;
    };

    candidate_set collectCandidates(const admitted_request &request,
                                    const service_description &service,
                                    const request_description &description,
                                    const absl::flat_hash_set<std::string> &excluded,
                                    absl::Time now);
    /** Counts the request at its target. */
    placement recordPlacement(std::uint64_t number, const admitted_request &request,
                              const service_description &service,
                              const request_description &description,
                              const target_candidate &chosen, const candidate_details &details,
                              absl::Time now);
    /** The connections to one target of a service that this router may have open; 0 for no limit.
     */
    int connectionShare(const service_description &service) const;
    /** Drops what is known of a target that is no longer listed and has nothing open. */
    void dropViewIfRemoved(const std::string &target);
    target_view &viewOf(const std::string &target, const service_description &service);
    service_speed &speedOf(const service_description &service);
    int fleetColdPermits(const service_description &service) const;
    /** True when the target bears only a few requests, or may. */
    bool isTreatedAsCold(const target_state &state, const service_description &service,
                         absl::Time now) const;
    target_candidate candidateFor(const target_state &state, const service_description &service,
                                  const request_description &description,
                                  candidate_details &details, absl::Time now);
    share_state shareOf(const admitted_request &request, absl::Time now);
    void queuePromptForDigest(const std::string &target, const request_description &description);

    forwarding_options m_options;
    std::shared_ptr<const route_table> m_table;
    target_directory m_directory;
    cold_start_limiter m_coldLimiter;
    shared_retry_budget m_retryBudget;
    absl::flat_hash_map<std::string, target_view> m_views;
    absl::flat_hash_map<std::string, service_speed> m_speeds;
    absl::flat_hash_map<std::uint64_t, open_request> m_openRequests;
    fleet_view m_fleet;
    workspace_accounts m_accounts;
    /** Prompts that the other routers were not told of yet. */
    std::vector<placed_prompt> m_queuedPrompts;
    absl::flat_hash_map<name_hash, std::string> m_targetOfHash;
    std::uint64_t m_digestSequence = 0;
};

} // namespace quetzal
