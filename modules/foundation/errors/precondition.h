#pragma once

namespace quetzal {

/**
 * Prints the failed expression and its source location to standard error and aborts the program.
 *
 * Called by QUETZAL_PRECONDITION. A failed precondition is a bug in the calling code; invalid
 * external input is answered with a result_code instead.
 */
[[noreturn]] void failPrecondition(const char *expression, const char *file, int line);

} // namespace quetzal

/** Aborts the program if a condition that the calling code must guarantee does not hold. */
#define QUETZAL_PRECONDITION(condition) \
    do { \
        if (!(condition)) \
            ::quetzal::failPrecondition(#condition, __FILE__, __LINE__); \
    } while (false)
