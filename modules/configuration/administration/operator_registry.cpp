#include "configuration/administration/operator_registry.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal {

operator_registry::operator_registry(std::vector<operator_definition> operators)
    : m_operators(std::move(operators))
{
}

const operator_definition *operator_registry::find(std::string_view token) const
{
    const std::string digest = sha256Hex(token);
    const auto found = std::find_if(m_operators.begin(), m_operators.end(),
                                    [&digest](const operator_definition &candidate) {
                                        return candidate.tokenDigest == digest;
                                    });
    return found == m_operators.end() ? nullptr : &*found;
}

} // namespace quetzal
