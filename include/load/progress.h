#ifndef CH_LOAD_PROGRESS_H
#define CH_LOAD_PROGRESS_H

#include <stdint.h>
#include <stdio.h>

#include "load/interval.h"

/*
 * A status line on the terminal with the figures of the last second. Times are
 * CLOCK_MONOTONIC in microseconds.
 */
struct progress {
    FILE *out; /* NULL: prints nothing */
    int64_t start_us;
    uint64_t sent;         /* total when the last line was printed */
    struct interval ended; /* since the last line */
};

/* Counts a request that has ended. */
void progress_record_end(struct progress *progress,
                         const struct report_outcome *outcome);

/* Prints the line and resets the figures. */
void progress_print(struct progress *progress, const struct report *report,
                    int64_t now_us);

/* Ends the line. */
void progress_finish(struct progress *progress);

#endif
