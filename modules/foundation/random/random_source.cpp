#include "foundation/random/random_source.h"

#include "foundation/errors/precondition.h"

#include <cmath>
#include <numbers>

namespace quetzal {

random_source::result_type random_source::operator()()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double random_source::uniform()
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>((*this)() >> 11) * scale;
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    QUETZAL_PRECONDITION(bound > 0);
    return (*this)() % bound;
}

double random_source::normal()
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - uniform()));
    return radius * std::cos(2.0 * std::numbers::pi * uniform());
}

} // namespace quetzal
