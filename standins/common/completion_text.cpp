#include "standins/common/completion_text.h"

#include "foundation/hashing/stable_hash.h"

#include <absl/strings/str_cat.h>

#include <cstdint>

namespace quetzal::standins {

std::string completionToken(std::string_view message, int index)
{
    constexpr std::uint64_t mask = 0xffff;
    const std::uint64_t hash = stableHash(std::string(message) + "#" + std::to_string(index));
    return absl::StrCat(" w", absl::Hex(hash & mask, absl::kZeroPad4));
}

std::string completionText(std::string_view message, int count)
{
    std::string text;
    for (int index = 0; index < count; ++index)
        text += completionToken(message, index);
    return text;
}

} // namespace quetzal::standins
