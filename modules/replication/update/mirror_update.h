#pragma once

#include "directory/mirror/prefix_mirror.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/**
 * What a router has just read of one prefix of the key-value service, as sent to the others.
 *
 * Without changes it confirms that there were none.
 */
struct mirror_update
{
    /** The name of the sender. */
    std::string vm;
    /** The position of the prefix in the list of mirrored prefixes. */
    std::size_t prefix = 0;
    /** The revision after which the changes are complete. */
    std::int64_t after = 0;
    /** The revision up to which the changes are complete. */
    std::int64_t revision = 0;
    /**
     * True if the changes are the difference between the contents at both revisions, because the
     * service no longer had the history between them.
     */
    bool isDifference = false;
    std::vector<key_change> changes;

    bool operator==(const mirror_update &) const = default;
};

} // namespace quetzal
