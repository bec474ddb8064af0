#pragma once

#include "apps/edge/event_log.h"
#include "directory/mirror/prefix_mirror.h"
#include "forwarding/node/forwarding_node.h"
#include "platform/store_dialect.h"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace quetzal {

/** Translates between the records of prompt parts in the store and the forwarding_node. */
class part_records
{
public:
    part_records(forwarding_node &node, event_log &log);

    /** Applies those of the changes that concern records of prompt parts. */
    void onChanges(const std::vector<key_change> &changes, absl::Time now);
    /** Returns the call that writes or removes a record, if that is this router's to do now. */
    std::optional<platform::store_call> nextCall(absl::Time now);

private:
    void onChange(part_id part, const key_change &change, absl::Time now);

    forwarding_node &m_node;
    event_log &m_log;
};

} // namespace quetzal
