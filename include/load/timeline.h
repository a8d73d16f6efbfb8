#ifndef CH_LOAD_TIMELINE_H
#define CH_LOAD_TIMELINE_H

#include <stdint.h>
#include <stdio.h>

#include "load/interval.h"

#define TIMELINE_STEP_US 100000

/*
 * Writes one CSV row for each 100 ms of the run, with the requests sent and
 * ended in that interval. The columns p50_us, p99_us and coverage are empty in
 * a row without an answered search. Times are CLOCK_MONOTONIC in microseconds;
 * the column time_s counts from start_us.
 */
struct timeline {
    FILE *out; /* NULL: writes nothing */
    int64_t start_us;
    uint32_t rows; /* written */
    /* Of the current interval: */
    uint64_t sent;
    struct interval ended;
};

/* Writes the header of the CSV file. */
void timeline_init(struct timeline *timeline, FILE *out, int64_t start_us);

/* Counts a request sent now. */
void timeline_record_sent(struct timeline *timeline, int64_t now_us);

/* Counts a request that ended now. */
void timeline_record_end(struct timeline *timeline,
                         const struct report_outcome *outcome, int64_t now_us);

/* Writes the rows of all intervals that have ended. */
void timeline_advance(struct timeline *timeline, int64_t now_us);

#endif
