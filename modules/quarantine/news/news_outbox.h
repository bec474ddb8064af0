#pragma once

#include "quarantine/evidence/loss_table.h"
#include "quarantine/evidence/quarantine_news.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>

namespace quetzal {

/** What this router observed and the other routers have not been told of yet; of bounded size. */
class news_outbox
{
public:
    /** Queues the end of a target; parts that it ended under are added to one that is queued. */
    void addLoss(const target_loss &loss, absl::Time now);
    /** Queues when a part was sound. */
    void addSound(part_id part, absl::Time at);
    /** Must be called when another router told that a part was sound: this one need not. */
    void onToldSound(const sound_part &sound);
    /** True if the routers have not heard for a while that the part was sound at this time. */
    bool isSoundUntold(part_id part, absl::Time at) const;
    /**
     * Moves what is due to the news. A loss is told twice, because a message may be lost; of its
     * parts, those that were sound long ago, or never, come first.
     */
    void takeInto(quarantine_news &news, const loss_table &evidence, absl::Time now);

private:
    struct outgoing_loss
    {
        target_loss loss;
        int sendsLeft = 0;
        absl::Time nextAt;
    };

    void recordTold(part_id part, absl::Time at);

    std::deque<outgoing_loss> m_losses;
    absl::flat_hash_map<part_id, absl::Time> m_sound;
    /** The times that the routers know of each other. */
    absl::flat_hash_map<part_id, absl::Time> m_toldSoundAt;
};

} // namespace quetzal
