#ifndef CH_LOAD_PROGRESS_H
#define CH_LOAD_PROGRESS_H

#include <stdint.h>
#include <stdio.h>

#include "common/histogram.h"
#include "load/report.h"

/* A line on the terminal that shows the last second. */
struct prg {
    FILE *out; /* NULL: prints nothing */
    int64_t start_us;
    uint64_t sent; /* up to the last line */
    uint64_t ok;
    uint64_t refused;
    uint64_t searches;
    double coverage_sum;
    struct hst latency;
};

void prg_ended(struct prg *progress, const struct rep_outcome *outcome);

/* Prints the line and starts the next second. */
void prg_print(struct prg *progress, const struct rep *report, int64_t now_us);

/* Ends the line. */
void prg_finish(struct prg *progress);

#endif
