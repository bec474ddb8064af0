#pragma once

#include "budgets/memory/byte_budget.h"

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzal {

/**
 * The bytes of answers that one caller has not taken yet, and whether the caller still takes them.
 *
 * A slow caller keeps its connection for as long as it makes progress; one that takes nothing for
 * maxStall has stalled. The bytes count towards the memory of all answers.
 */
class answer_queue
{
public:
    /** Longer than any pause of a caller that still reads, however small its receive window. */
    static constexpr absl::Duration maxStall = absl::Seconds(10);

    /** @param memory must outlive the queue */
    explicit answer_queue(byte_budget &memory);

    /** Appends bytes to write. */
    void add(std::string bytes, absl::Time now);
    /** Returns bytes to write; they stay valid until onWritten() is called. Empty if none are left.
     */
    std::string_view next();
    /** Must be called when the first bytes that next() returned were written. */
    void onWritten(std::size_t count, absl::Time now);
    /** Drops all bytes. */
    void clear();

    bool isEmpty() const { return size() == 0; }
    /** Returns the number of bytes that were not written yet. */
    std::size_t size() const { return m_writing.size() - m_written + m_pending.size(); }
    /** True if the queue holds as much as one caller may keep, so that nothing is to be added. */
    bool isFull() const { return m_heldBytes.isExceeded(); }
    /** Returns when the caller has stalled if it takes nothing until then; never if it is empty. */
    absl::Time stalledAt() const;

private:
    void updateHeldBytes();

    std::string m_writing;
    /** The number of bytes of m_writing that were written. */
    std::size_t m_written = 0;
    std::string m_pending;
    byte_reservation m_heldBytes;
    absl::Time m_lastProgressAt = absl::InfinitePast();
};

} // namespace quetzal
