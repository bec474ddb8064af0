#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** What an operator may do. */
enum class operator_role
{
    Read,
    Write,
};

/** One operator of the administration API. */
struct operator_definition
{
    std::string name;
    /** SHA-256 of the operator's token, in lower-case hexadecimal digits. */
    std::string tokenDigest;
    operator_role role = operator_role::Read;

    bool operator==(const operator_definition &) const = default;
};

/** Finds operators by their tokens. */
class operator_registry
{
public:
    explicit operator_registry(std::vector<operator_definition> operators);

    /** The operator who has this token, or null. */
    const operator_definition *find(std::string_view token) const;

private:
    std::vector<operator_definition> m_operators;
};

} // namespace quetzal
