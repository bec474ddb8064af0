#pragma once

#include "admission/processor/turn_limiter.h"
#include "budgets/cold/cold_start_limiter.h"
#include "budgets/connection/connection_share.h"
#include "budgets/memory/byte_budget.h"
#include "budgets/retry/shared_retry_budget.h"
#include "directory/target/target_directory.h"
#include "exchange/view/fleet_view.h"
#include "forwarding/node/answer_times.h"
#include "forwarding/node/forwarding_types.h"
#include "forwarding/node/service_speed.h"
#include "forwarding/node/workspace_accounts.h"
#include "forwarding/request/answer_description.h"
#include "forwarding/request/request_description.h"
#include "forwarding/route/route_table.h"
#include "forwarding/shutdown/shutdown_schedule.h"
#include "placement/cache/prompt_cache_view.h"
#include "placement/load/target_load.h"
#include "quarantine/archive/part_archive.h"
#include "quarantine/decision/part_quarantine.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** Decides for each request of one router whether it is served, and by which target. */
class forwarding_node
{
public:
    explicit forwarding_node(forwarding_options options);

    /** Activates a version of the configuration; false if it is not newer than the active one. */
    bool setRoutes(std::shared_ptr<const route_table> table);
    /** Returns the active configuration; null before the first one. */
    const std::shared_ptr<const route_table> &routes() const { return m_table; }
    /** Replaces the list of routers that share the limits of the fleet. */
    void setRouters(router_group routers);
    /** Replaces the limits of the fleet; the window of the retry budget stays. */
    void setFleetLimits(const fleet_limits &limits);
    const router_group &routers() const { return m_options.routers; }

    /** Returns the memory for answers that are not relayed yet. */
    byte_budget &answerMemory() { return m_answerMemory; }

    /** Starts a graceful shutdown. */
    void beginShutdown(const shutdown_schedule &schedule) { m_shutdown = schedule; }
    /** Shortens the grace period of a shutdown in progress, if there is one. */
    void shortenShutdown(absl::Duration grace);
    /** Returns the times of the shutdown in progress; nothing before it. */
    const std::optional<shutdown_schedule> &shutdown() const { return m_shutdown; }

    target_directory &directory() { return m_directory; }
    const target_directory &directory() const { return m_directory; }
    /**
     * Adds or updates a target. wasListedAtStart is true for records of the first listing, whose
     * targets are not assumed to have just started.
     */
    void applyTarget(const target_record &record, bool wasListedAtStart, absl::Time now);
    /** Removes a target whose record disappeared; the directory may keep it for a grace period. */
    void removeTarget(const std::string &id, absl::Time now);
    /** Removes a target whose record was overwritten by one that names no target. */
    void dropTarget(const std::string &id);
    /** Replaces the set of data centres that receive no requests. */
    void setEvacuated(const absl::flat_hash_set<std::string> &dataCentres, absl::Time now);

    /** Checks a request against the active configuration. */
    std::variant<admitted_request, rejection> admit(const request_description &request,
                                                    absl::Time arrivedAt) const;
    /** Returns the rejection of all requests while there is no configuration. */
    static rejection missingConfigurationRejection();
    /**
     * Takes a new connection; false if this turn of the event loop has taken as many as the
     * processor can serve. One that is not taken is answered with connectionRejection(), unread.
     */
    bool tryTakeConnection() { return m_connectionLimiter.tryTake(); }
    /** Returns the rejection of a connection that was not taken. */
    static rejection connectionRejection();
    /** Must be called at the end of each turn in which a connection was offered or a request began.
     */
    void onTurnEnded();
    /**
     * Returns the rejection of a request that this router has no processor time for. It does not
     * count towards the demand of its workspace, since its caller asks again.
     */
    std::optional<rejection> rejectIfOverloaded();
    /** Counts an admitted request towards the retry budget. */
    void onAdmitted(const admitted_request &request, absl::Time now);
    /**
     * Chooses a target that is not in excluded, and counts the request at it under this number.
     * Rejects the request if it is beyond the fair share of its workspace, if no target is
     * available, or if the backlog exceeds the limit.
     */
    std::variant<placement, rejection> place(std::uint64_t number, const admitted_request &request,
                                             const request_description &description,
                                             const absl::flat_hash_set<std::string> &excluded,
                                             absl::Time now);
    /** Must be called when a request that place() accepted was not executed by any target. */
    void onNotServed(const admitted_request &request, const request_description &description,
                     absl::Time now);
    /** Takes one retry from the budget of the service; false if the budget is exhausted. */
    bool trySpendRetry(const std::string &service, absl::Time now);

    /**
     * Must be called when the target of a request has written an answer for long enough to show
     * that it does not crash under the prompt.
     */
    void onPromptSound(std::uint64_t number, absl::Time now);
    /** True if the request must not be repeated, because its prompt may have ended targets. */
    bool mayEndTargets(const request_description &description) const
    {
        return m_quarantine.isSuspect(description.prompt);
    }
    /** Updates the load and the speed estimates when the first byte of an answer arrives. */
    void onAnswerBegan(std::uint64_t number, const std::string &target, absl::Time now);
    /** Removes the request from the load of its target; records a failure of the target, if any. */
    void onEnded(std::uint64_t number, const std::string &target, exchange_end end, absl::Time now);
    /** Records how long a target took for a complete and successful answer to the request. */
    void onAnswerComplete(const admitted_request &request, const request_description &description,
                          absl::Duration time);
    /** Returns the time in which the answer to the request can be expected to be complete. */
    absl::Duration expectedAnswerTime(const admitted_request &request,
                                      const request_description &description) const;
    /** Records what a target said of itself with the answer to a request. */
    void onNotice(std::uint64_t number, const std::string &target, const answer_description &answer,
                  absl::Time now);
    /** Stores the load that a target reported with an answer. */
    void onReport(const std::string &target, const reported_load &report);

    /**
     * Returns the digest to send to the other routers. lastChangeRevisions holds one revision for
     * each prefix of the store. Each prompt is included in one digest only.
     */
    load_digest makeDigest(std::vector<std::int64_t> lastChangeRevisions, absl::Time now);
    /** Returns the digest of backlogs to send to the other routers between two load digests. */
    backlog_digest makeBacklogDigest(absl::Time now);
    /**
     * Updates the held prompt parts and returns what the other routers must be told of them now.
     * Must be called at each interval at which a digest may be sent.
     */
    std::optional<quarantine_digest> makeQuarantineDigest(absl::Time now);
    /** Applies a record of a prompt part that the key-value service holds. */
    void onPartRecord(const held_part &record, std::int64_t revision, absl::Time now);
    /** Must be called when the service holds no record of the part any more. */
    void onPartRecordRemoved(part_id part) { m_partArchive.onRecordRemoved(part); }
    /**
     * Returns the write of a part's record that is this router's to make now, if there is one. Must
     * be called periodically, with no such write in progress.
     */
    std::optional<archive_write> nextPartWrite(absl::Time now);
    /** Returns the changes of the held prompt parts since the last call, for logs. */
    std::vector<quarantine_event> takeQuarantineEvents() { return m_quarantine.takeEvents(); }
    /** Applies a digest that was received from another router. */
    void onDigest(const peer_digest &digest, absl::Time now);
    /** Returns the prompt parts that are held, and the evidence. */
    const part_quarantine &quarantine() const { return m_quarantine; }
    /** Returns the load and usage reported by the other routers. */
    const fleet_view &fleet() const { return m_fleet; }

private:
    /** A request that was sent to a target and has not ended. */
    struct open_request
    {
        std::string service;
        bool isModelRequest = false;
        bool wasTargetIdle = false;
        std::int64_t missingTokens = 0;
        absl::Time sentAt;
        /** The incarnation of the target. */
        std::int64_t targetStartedAtMs = 0;
        std::vector<part_id> sharedParts;
        /** When the first byte of the answer arrived; the infinite future before. */
        absl::Time answerBeganAt = absl::InfiniteFuture();
    };
    /** The load and the prompt cache of one target, as estimated by this router. */
    struct target_view
    {
        target_load load;
        std::unique_ptr<prompt_cache_view> cache;
    };
    /** Data of a candidate that is needed once it is chosen. */
    struct candidate_details
    {
        const target_state *state = nullptr;
        absl::Duration peerBacklog;
        std::int64_t missingTokens = 0;
    };

    /** The targets that may receive a request; both lists have the same order. */
    struct candidate_set
    {
        std::vector<target_candidate> candidates;
        std::vector<candidate_details> details;
        /** The targets that were left out because this router has no connection to them left. */
        std::size_t busyTargets = 0;
    };

    /** Returns the targets that may receive the request now. */
    candidate_set collectCandidates(const admitted_request &request,
                                    const service_description &service,
                                    const request_description &description,
                                    const absl::flat_hash_set<std::string> &excluded,
                                    absl::Time now);
    /** Returns the state of all model engines that can be used. */
    target_pressure modelPressure(absl::Time now) const;
    /** Returns the share of the workspace of a request; of a plain service, all that it requests.
     */
    share_state shareOf(const admitted_request &request, const service_description &service,
                        absl::Time now);
    /** Returns the rejection of a request with a held prompt part; nothing if it may be sent. */
    std::optional<rejection> rejectHeldPart(const request_description &description, absl::Time now);
    /** Returns this router's turn to try a held prompt part. */
    trial_turn turnToTry(part_id part) const;
    /** Records that a target ended while it had the request. */
    void recordLoss(const open_request &request, const std::string &target, absl::Time now);
    /** Tells the quarantine which of the targets that seemed to have ended still run. */
    void checkEndedTargets(absl::Time now);
    /** Returns the rejection of a request beyond its workspace's share. */
    static rejection rejectBeyondShare(const share_state &share);
    /** Returns the backlog of a target above which a request within its share is rejected. */
    absl::Duration maxBacklog(const admitted_request &request, const share_state &share,
                              absl::Time now) const;
    /**
     * Returns the candidate to take in place of the best one: another one that can begin the
     * request in time, if the best one can't and the workspace is far within its share.
     */
    std::size_t leaveFullTarget(const candidate_set &candidateSet, std::size_t best,
                                const admitted_request &request, const share_state &share,
                                absl::Duration limit) const;
    /** Counts the request at the chosen target and returns where to send it. */
    placement recordPlacement(std::uint64_t number, const admitted_request &request,
                              const service_description &service,
                              const request_description &description,
                              const target_candidate &chosen, const candidate_details &details,
                              absl::Time now);
    /** Returns the rejection of a request for which there is no candidate. */
    rejection rejectWithoutCandidate(const admitted_request &request,
                                     const candidate_set &candidateSet, absl::Time now) const;
    /** Returns when a caller may come back to whose request no target is available. */
    absl::Duration retryAfterNoTarget(const std::string &service, absl::Time now) const;
    connection_bounds connectionBounds(const service_description &service) const;
    /** Returns how many connections this router may have open to a target; 0 for no limit. */
    int maxConnectionsTo(const std::string &target, const service_description &service,
                         absl::Time now) const;
    /** True if this router has requests on all connections that it may have to the target. */
    bool isConnectionShareUsed(const std::string &target, const service_description &service,
                               absl::Time now) const;
    /** Forgets what was learned of a target if it is no longer listed. */
    void forgetIfRemoved(const std::string &id);
    /** Drops the view of a target that is no longer listed and has no open requests. */
    void dropViewIfRemoved(const std::string &target);
    target_view &viewOf(const std::string &target, const service_description &service);
    service_speed &speedOf(const service_description &service);
    /** Returns how many requests all routers together may send to a cold target in a window. */
    int fleetColdPermits(const service_description &service) const;
    /** True if the target is cold, or may have restarted and be cold again. */
    bool isTreatedAsCold(const target_state &state, const service_description &service,
                         absl::Time now) const;
    target_candidate candidateFor(const target_state &state, const service_description &service,
                                  const request_description &description,
                                  candidate_details &details, absl::Time now);
    void onLoadDigest(const load_digest &digest, absl::Time now);
    /** Queues the shared parts of a prompt for the digests to the other routers. */
    void queuePromptForDigest(const std::string &target, const request_description &description);

    forwarding_options m_options;
    std::shared_ptr<const route_table> m_table;
    target_directory m_directory;
    turn_limiter m_connectionLimiter;
    turn_limiter m_requestLimiter;
    cold_start_limiter m_coldLimiter;
    shared_retry_budget m_retryBudget;
    absl::flat_hash_map<std::string, target_view> m_views;
    absl::flat_hash_map<std::string, service_speed> m_speeds;
    absl::flat_hash_map<std::uint64_t, open_request> m_openRequests;
    fleet_view m_fleet;
    answer_times m_answerTimes;
    std::optional<shutdown_schedule> m_shutdown;
    workspace_accounts m_accounts;
    /** Prompts that no digest has included yet. */
    std::vector<placed_prompt> m_queuedPrompts;
    absl::flat_hash_map<name_hash, std::string> m_targetOfHash;
    std::uint64_t m_digestSequence = 0;
    part_quarantine m_quarantine;
    part_archive m_partArchive;
    byte_budget m_answerMemory;
};

} // namespace quetzal
