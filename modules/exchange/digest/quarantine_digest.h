#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <absl/time/time.h>

#include <string>

namespace quetzal {

/**
 * What one router tells the others about targets that ended and about held prompt parts. Sent only
 * when there is something to tell; receiving one twice changes nothing.
 */
struct quarantine_digest
{
    /** The name of the sender. */
    std::string vm;
    /** The time to which the times of the news relate, by the clock of the sender. */
    absl::Time madeAt;
    quarantine_news news;

    bool operator==(const quarantine_digest &) const = default;
};

} // namespace quetzal
