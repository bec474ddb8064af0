#pragma once

#include <absl/time/time.h>

namespace quetzal {

/** The time since the VM started, which also counts while the VM is suspended. */
absl::Time edgeNow();

} // namespace quetzal
