#include "forwarding/caller/answer_queue.h"

#include <utility>

namespace quetzal {

namespace {

/** Empties a string and returns its memory, which an assignment would keep. */
void release(std::string &text)
{
    std::string().swap(text);
}

} // namespace

answer_queue::answer_queue(byte_budget &memory)
    : m_heldBytes(memory)
{
}

void answer_queue::add(std::string bytes, absl::Time now)
{
    if (isEmpty())
        m_lastProgressAt = now;
    if (m_pending.empty())
        m_pending = std::move(bytes);
    else
        m_pending += bytes;
    updateHeldBytes();
}

std::string_view answer_queue::next()
{
    if (m_written == m_writing.size()) {
        m_writing = std::exchange(m_pending, {});
        m_written = 0;
        updateHeldBytes();
    }
    return std::string_view(m_writing).substr(m_written);
}

void answer_queue::onWritten(std::size_t count, absl::Time now)
{
    m_written += count;
    m_lastProgressAt = now;
    if (m_written == m_writing.size()) {
        release(m_writing);
        m_written = 0;
    }
    updateHeldBytes();
}

void answer_queue::clear()
{
    release(m_writing);
    m_written = 0;
    release(m_pending);
    updateHeldBytes();
}

absl::Time answer_queue::stalledAt() const
{
    return isEmpty() ? absl::InfiniteFuture() : m_lastProgressAt + maxStall;
}

void answer_queue::updateHeldBytes()
{
    m_heldBytes.set(m_writing.size() + m_pending.size());
}

} // namespace quetzal
