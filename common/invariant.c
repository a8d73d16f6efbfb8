#include <stdio.h>
#include <stdlib.h>

#include "common/invariant.h"

void
invariant_fail(const char *expr, const char *file, int line)
{
    (void)fprintf(stderr, "invariant failed: %s (%s:%d)\n", expr, file, line);
    abort();
}
