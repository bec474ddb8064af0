#pragma once

#include <absl/time/time.h>

#include <csignal>

namespace quetzal {

/**
 * Receives SIGTERM and SIGINT without a signal handler.
 *
 * Create it first in main(): it blocks both signals in the calling thread, and threads started
 * later inherit that. SIGPIPE is ignored, so that writing to a closed connection is an error code.
 */
class termination_signal
{
public:
    termination_signal();

    /** Blocks until one of the signals arrives; returns its number. */
    int wait() const;
    /** True when one of the signals arrived within the time. */
    bool waitFor(absl::Duration limit) const;

private:
    sigset_t m_signals {};
};

} // namespace quetzal
