#pragma once

#include <cstddef>

namespace quetzal {

/**
 * Bounds the bytes that many holders keep in memory together.
 *
 * A holder may keep at most a part of what is free, so that the bound of each falls as memory fills
 * up: holders that grow without end are cut off first, and small ones always find room.
 */
class byte_budget
{
public:
    explicit byte_budget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    std::size_t usedBytes() const { return m_usedBytes; }
    /** Returns how many bytes one holder may keep now. */
    std::size_t maxBytesOfOne() const;

private:
    friend class byte_reservation;

    std::size_t m_maxBytes;
    std::size_t m_usedBytes = 0;
};

/** The bytes that one holder keeps; returns them to the budget when it is destroyed. */
class byte_reservation
{
public:
    /** @param budget must outlive the reservation */
    explicit byte_reservation(byte_budget &budget)
        : m_budget(budget)
    {
    }
    ~byte_reservation() { set(0); }
    byte_reservation(const byte_reservation &) = delete;
    byte_reservation &operator=(const byte_reservation &) = delete;

    /** Sets how many bytes the holder keeps. */
    void set(std::size_t bytes);
    /** True if the holder keeps more than one holder may keep now. */
    bool isExceeded() const { return m_bytes > m_budget.maxBytesOfOne(); }

private:
    byte_budget &m_budget;
    std::size_t m_bytes = 0;
};

} // namespace quetzal
