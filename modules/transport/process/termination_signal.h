#pragma once

#include <absl/time/time.h>

#include <csignal>

namespace quetzal {

/**
 * Receives SIGTERM and SIGINT without a signal handler.
 *
 * It must be created first in main(): it blocks both signals in the calling thread, and threads
 * started later inherit the signal mask. It also ignores SIGPIPE, so that writing to a closed
 * connection returns an error code.
 */
class termination_signal
{
public:
    termination_signal();

    /** Blocks until one of the signals arrives; returns its number. */
    int wait() const;
    /** Returns true if one of the signals arrives within the time limit. */
    bool waitFor(absl::Duration limit) const;

private:
    sigset_t m_signals {};
};

} // namespace quetzal
