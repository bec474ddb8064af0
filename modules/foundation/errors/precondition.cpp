#include "foundation/errors/precondition.h"

#include <cstdio>
#include <cstdlib>

namespace quetzal {

void failPrecondition(const char *expression, const char *file, int line)
{
    std::fprintf(stderr, "precondition failed: %s (%s:%d)\n", expression, file, line);
    std::abort();
}

} // namespace quetzal
