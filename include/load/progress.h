#ifndef CH_LOAD_PROGRESS_H
#define CH_LOAD_PROGRESS_H

#include <stdint.h>
#include <stdio.h>

#include "common/histogram.h"
#include "load/report.h"

/* A line on the terminal that shows the last second. */
struct progress {
    FILE *out; /* NULL: prints nothing */
    int64_t start_us;
    uint64_t sent; /* up to the last line */
    uint64_t ok;
    uint64_t refused;
    uint64_t searches;
    double coverage_sum;
    struct histogram latency;
};

void progress_record_end(struct progress *progress,
                         const struct report_outcome *outcome);

/* Prints the line and starts the next second. */
void progress_print(struct progress *progress, const struct report *report,
                    int64_t now_us);

/* Ends the line. */
void progress_finish(struct progress *progress);

#endif
