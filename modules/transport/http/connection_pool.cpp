#include "transport/http/connection_pool.h"

#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace quetzal {

namespace {

thread_local bool rejecting = false;

} // namespace

connection_pool::connection_pool(connection_pool_options options)
    : m_options(options)
    , m_evictionRequests(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC | EFD_SEMAPHORE))
{
}

connection_pool::~connection_pool()
{
    shutdown();
}

void connection_pool::enqueue(std::function<void()> serve)
{
    bool needsEviction = false;
    if (!tryEnqueue(serve, needsEviction)) {
        rejecting = true;
        serve();
        rejecting = false;
    } else if (needsEviction) {
        requestEvictions(1);
    }
}

bool connection_pool::tryEnqueue(std::function<void()> &serve, bool &needsEviction)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_queue.size() >= m_options.maxQueued + m_idleThreadCount)
        return false;
    m_queue.push_back(std::move(serve));
    if (m_queue.size() <= m_idleThreadCount)
        return true;
    if (m_threads.size() < m_options.threads)
        m_threads.emplace_back([this] { run(); });
    else
        needsEviction = true;
    return true;
}

void connection_pool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    closeIdle();
    for (std::thread &thread : threads)
        thread.join();
}

bool connection_pool::tryClaimEviction()
{
    std::uint64_t value = 0;
    const bool taken = read(m_evictionRequests.descriptor(), &value, sizeof value) == sizeof value;
    m_evictedCount += taken ? 1 : 0;
    return taken;
}

void connection_pool::closeIdle()
{
    m_closingIdle = true;
    requestEvictions(m_options.threads + 1);
}

bool connection_pool::isRejecting()
{
    return rejecting;
}

bool connection_pool::shouldWake() const
{
    return m_stopping || !m_queue.empty();
}

void connection_pool::run()
{
    while (true) {
        std::function<void()> serve;
        {
            const absl::MutexLock lock(&m_mutex);
            ++m_idleThreadCount;
            m_mutex.Await(absl::Condition(this, &connection_pool::shouldWake));
            --m_idleThreadCount;
            if (m_queue.empty())
                return;
            serve = std::move(m_queue.front());
            m_queue.pop_front();
        }
        serve();
    }
}

void connection_pool::requestEvictions(std::uint64_t amount)
{
    [[maybe_unused]] const ssize_t written
        = write(m_evictionRequests.descriptor(), &amount, sizeof amount);
}

} // namespace quetzal
