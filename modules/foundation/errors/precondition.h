#pragma once

namespace quetzal {

/**
 * Ends the program with the failed expression and its place in the source.
 *
 * Used by QUETZAL_PRECONDITION; a failed precondition is a fault of the calling code, never of
 * input from outside, which is answered with a result_code.
 */
[[noreturn]] void failPrecondition(const char *expression, const char *file, int line);

} // namespace quetzal

/** Checks a condition that the caller must have ensured. */
#define QUETZAL_PRECONDITION(condition) \
    do { \
        if (!(condition)) \
            ::quetzal::failPrecondition(#condition, __FILE__, __LINE__); \
    } while (false)
