#include "budgets/memory/byte_budget.h"

#include <algorithm>

namespace quetzal {

namespace {

constexpr std::size_t freePartDivisor = 4;
/** Ordinary answers find room even while the budget is used up. */
constexpr std::size_t minBytesOfOne = std::size_t {16} * 1024;

} // namespace

std::size_t byte_budget::maxBytesOfOne() const
{
    const std::size_t freeBytes = m_maxBytes - std::min(m_usedBytes, m_maxBytes);
    return std::max(freeBytes / freePartDivisor, minBytesOfOne);
}

void byte_reservation::set(std::size_t bytes)
{
    m_budget.m_usedBytes += bytes;
    m_budget.m_usedBytes -= m_bytes;
    m_bytes = bytes;
}

} // namespace quetzal
