#include "transport/process/termination_signal.h"

#include <cerrno>
#include <pthread.h>

namespace quetzal {

termination_signal::termination_signal()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int termination_signal::wait() const
{
    int received = 0;
    while (sigwait(&m_signals, &received) != 0) { }
    return received;
}

bool termination_signal::waitFor(absl::Duration limit) const
{
    const timespec time = absl::ToTimespec(limit);
    int received = -1;
    do {
        received = sigtimedwait(&m_signals, nullptr, &time);
    } while (received < 0 && errno == EINTR);
    return received > 0;
}

} // namespace quetzal
