#include "transport/http/connection_pool.h"

#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace quetzal {

namespace {

thread_local bool refusing = false;

} // namespace

connection_pool::connection_pool(connection_pool_options options)
    : m_options(options)
    , m_crowded(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC | EFD_SEMAPHORE))
{
}

connection_pool::~connection_pool()
{
    shutdown();
}

void connection_pool::enqueue(std::function<void()> serve)
{
    bool crowded = false;
    if (!tryWait(serve, crowded)) {
        refusing = true;
        serve();
        refusing = false;
    } else if (crowded) {
        addCrowded(1);
    }
}

bool connection_pool::tryWait(std::function<void()> &serve, bool &crowded)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_waiting.size() >= m_options.mostWaiting + m_free)
        return false;
    m_waiting.push_back(std::move(serve));
    if (m_waiting.size() <= m_free)
        return true;
    if (m_threads.size() < m_options.threads)
        m_threads.emplace_back([this] { run(); });
    else
        crowded = true;
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

bool connection_pool::takeCrowded()
{
    std::uint64_t value = 0;
    const bool taken = read(m_crowded.descriptor(), &value, sizeof value) == sizeof value;
    m_gaveWay += taken ? 1 : 0;
    return taken;
}

void connection_pool::closeIdle()
{
    m_closingIdle = true;
    addCrowded(m_options.threads + 1);
}

bool connection_pool::isRefusing()
{
    return refusing;
}

bool connection_pool::hasWork() const
{
    return m_stopping || !m_waiting.empty();
}

void connection_pool::run()
{
    while (true) {
        std::function<void()> serve;
        {
            const absl::MutexLock lock(&m_mutex);
            ++m_free;
            m_mutex.Await(absl::Condition(this, &connection_pool::hasWork));
            --m_free;
            if (m_waiting.empty())
                return;
            serve = std::move(m_waiting.front());
            m_waiting.pop_front();
        }
        serve();
    }
}

void connection_pool::addCrowded(std::uint64_t amount)
{
    [[maybe_unused]] const ssize_t written = write(m_crowded.descriptor(), &amount, sizeof amount);
}

} // namespace quetzal
