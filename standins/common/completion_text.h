#pragma once

#include <string>
#include <string_view>

namespace quetzal::standins {

/** Token number index of the completion of a message; every engine and checker computes the same.
 */
std::string completionToken(std::string_view message, int index);

/** The first count tokens of the completion of a message. */
std::string completionText(std::string_view message, int count);

} // namespace quetzal::standins
