#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The permissions of an operator. */
enum class operator_role
{
    /** May make calls that change nothing. */
    Read,
    /** May also change configurations. */
    Write,
};

/** An operator who may call the administration API. */
struct operator_definition
{
    std::string name;
    /** SHA-256 of the operator's token, in lower-case hexadecimal digits. */
    std::string tokenDigest;
    operator_role role = operator_role::Read;

    bool operator==(const operator_definition &) const = default;
};

/** Looks up operators by their tokens. */
class operator_registry
{
public:
    explicit operator_registry(std::vector<operator_definition> operators);

    /** Returns the operator who has this token, or null if there is none. */
    const operator_definition *find(std::string_view token) const;

private:
    std::vector<operator_definition> m_operators;
};

} // namespace quetzal
