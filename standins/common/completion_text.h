#pragma once

#include <string>
#include <string_view>

namespace quetzal::standins {

/**
 * Returns one token of the completion of a message. The token depends only on the message and the
 * index, so that every engine and every checker of answers computes the same text.
 */
std::string completionToken(std::string_view message, int index);

/** Returns the first count tokens of the completion of a message, concatenated. */
std::string completionText(std::string_view message, int count);

} // namespace quetzal::standins
