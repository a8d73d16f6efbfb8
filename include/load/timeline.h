#ifndef CH_LOAD_TIMELINE_H
#define CH_LOAD_TIMELINE_H

#include <stdint.h>
#include <stdio.h>

#include "common/histogram.h"
#include "load/report.h"

#define TIMELINE_STEP_US 100000

/*
 * Writes one CSV row for each 100 ms: what was sent and what ended in that
 * time. `coverage` is empty in rows without an answer to a search.
 */
struct timeline {
    FILE *out; /* NULL: writes nothing */
    int64_t start_us;
    uint32_t rows;
    uint64_t sent;
    uint64_t ok;
    uint64_t refused;
    uint64_t errors;
    uint64_t wrong;
    uint64_t searches;
    double coverage_sum;
    struct histogram latency;
};

void timeline_init(struct timeline *timeline, FILE *out, int64_t start_us);

void timeline_record_sent(struct timeline *timeline, int64_t now_us);

void timeline_record_end(struct timeline *timeline,
                         const struct report_outcome *outcome, int64_t now_us);

/* Writes the rows that have ended by now. */
void timeline_advance(struct timeline *timeline, int64_t now_us);

#endif
