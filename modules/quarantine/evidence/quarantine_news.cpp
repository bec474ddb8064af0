#include "quarantine/evidence/quarantine_news.h"

namespace quetzal {

quarantine_news shifted(quarantine_news news, absl::Duration by)
{
    for (target_loss &loss : news.losses)
        loss.end.at += by;
    for (sound_part &sound : news.sound)
        sound.at += by;
    for (held_part &held : news.held) {
        held.since += by;
        held.lastTrialAt += by;
        for (target_end &end : held.ends)
            end.at += by;
    }
    return news;
}

} // namespace quetzal
