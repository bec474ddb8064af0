#pragma once

#include "placement/cache/prompt_cache_view.h"
#include "quarantine/decision/quarantine_event.h"
#include "quarantine/decision/quarantine_rule.h"
#include "quarantine/decision/trial_schedule.h"
#include "quarantine/evidence/loss_table.h"
#include "quarantine/evidence/quarantine_news.h"
#include "quarantine/news/news_outbox.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** Options of part_quarantine. */
struct quarantine_options
{
    quarantine_limits limits;
    /** When within the interval at which held parts are told this router does so, from 0 to 1. */
    double newsPhase = 0.0;
};

/**
 * Decides which prompt parts are held, from what this router and the others observed, and keeps
 * what the others have to be told.
 *
 * Of the parts that several targets ended under, those are held on which the last answer is the
 * oldest, and of these the ones with the most ends; the ends that a held part explains do not count
 * against others. A held part is released when a target writes an answer on it, which trials make
 * possible: single requests, sent by one router for all, at growing intervals.
 */
class part_quarantine
{
public:
    static constexpr std::size_t maxHeldParts = 256;

    explicit part_quarantine(quarantine_options options = {});

    /**
     * Records that this router's requests with these parts were lost when a target ended. Decides
     * nothing: see update().
     */
    void onLoss(const target_loss &loss, absl::Time now);
    /** Records that a target wrote an answer to this router's request, which began at beganAt. */
    void onSound(std::span<const part_id> parts, absl::Time beganAt);
    /** Applies what another router tells. */
    void onNews(const quarantine_news &news, std::string_view from, absl::Time now);
    /**
     * Holds parts on account of the ends that are older than the settle time, by which the reports
     * of all routers on one end are in.
     */
    void update(absl::Duration settleTime, absl::Time now);
    /**
     * Returns the ends that the list of targets must have shown by now.
     * @param removalTime the time within which all routers learn that a target is not listed
     */
    std::vector<target_end> endsToCheck(absl::Duration removalTime, absl::Time now) const;
    /** Must be called when the list shows that a target did not end. */
    void onTargetRunning(const target_incarnation &target);

    /** Returns the first shared part of the prompt that is held; null if there is none. */
    const held_part *findHeld(const std::vector<prompt_part> &prompt) const;
    /** True if targets ended at separate moments under a shared part, without an answer since. */
    bool isSuspect(const std::vector<prompt_part> &prompt) const;
    /** Takes the trial of a held part if it is this router's turn. */
    bool tryTrial(part_id part, const trial_turn &turn, absl::Time now);

    /**
     * Returns what to tell the other routers now, if there is anything.
     * @param repeatInterval the interval at which held parts are told again
     */
    std::optional<quarantine_news> takeNews(absl::Duration repeatInterval, absl::Time now);
    /** Returns and removes the events since the last call. */
    std::vector<quarantine_event> takeEvents();
    const absl::btree_map<part_id, held_part> &held() const { return m_held; }
    /**
     * Returns the parts that the routers must know again after all of them ended: those that are
     * held, then those that one more end would make so. Their records are adopted like news.
     */
    std::vector<held_part> partsToKeep() const;

private:
    /** The first report of the end of a target. */
    struct first_report
    {
        absl::Time receivedAt;
        std::string from;
    };
    /** Of the parts, holds those that are the likeliest cause, if the evidence suffices. */
    void decide(std::span<const part_id> parts, std::string_view from, absl::Time now);
    /** Adds a loss to the evidence; false if it is outdated. */
    bool addLoss(const target_loss &loss, std::string_view from, absl::Time now);
    /** Holds a part that another router holds, if the evidence suffices here too. */
    void adopt(const held_part &told, std::string_view from, absl::Time now);
    void hold(part_id part, std::span<const target_end> ends, std::string_view from,
              absl::Time now);
    void record(quarantine_step step, const held_part &part, std::string_view from);
    /** Releases a part if the evidence no longer suffices. */
    void releaseIfUnfounded(part_id part, quarantine_step step, std::string_view from);
    void markSound(part_id part, absl::Time at, std::string_view from);
    /** Updates the ends of held parts after new ones became known. */
    void extendHeld(std::span<const part_id> parts);
    /** Returns the ends under the part since the last answer on it. */
    std::vector<target_end> openEndsOf(part_id part, bool withExplained) const;
    void updateExplained();
    void addHeldNews(quarantine_news &news, absl::Duration repeatInterval, absl::Time now);

    quarantine_limits m_limits;
    double m_newsPhase;
    loss_table m_losses;
    absl::btree_map<part_id, held_part> m_held;
    /** The ends on account of which nothing was decided yet, with their first reports. */
    absl::btree_map<target_incarnation, first_report> m_undecided;
    news_outbox m_outbox;
    std::vector<quarantine_event> m_events;
    /** The infinite future while no part is held. */
    absl::Time m_nextHeldNewsAt = absl::InfiniteFuture();
    /** The part after which the next news of held parts begin. */
    part_id m_lastToldPart = 0;
};

} // namespace quetzal
