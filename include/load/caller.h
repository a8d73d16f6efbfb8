#ifndef CH_LOAD_CALLER_H
#define CH_LOAD_CALLER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "load/check.h"
#include "load/entries.h"
#include "load/mix.h"
#include "load/pool.h"
#include "load/report.h"
#include "standin/hrtimer.h"

/*
 * The simulated client programs (callers). Each sends searches and orders to
 * the gateways it knows, retries them as a caller should, and checks the
 * responses. Times are CLOCK_MONOTONIC in microseconds (hrtimer_now_us).
 */

struct caller_settings {
    const char *zone;        /* NULL: none */
    const char *name_prefix; /* of X-Caller, before the caller's number */
    uint32_t count;
    int64_t deadline_ms;
    int64_t limit; /* hits per search */
    uint64_t seed; /* part of queries and keys */
};

/* Called once for each request, after its retry if there is one. */
typedef void (*caller_done_cb)(const struct report_outcome *outcome,
                               void *ctx);

struct callers {
    struct caller_settings settings;
    struct pool *pool;
    struct hrtimer_set *timers;
    struct checker checker;
    struct report *report;
    FILE *order_log;         /* CSV, NULL: none */
    struct entries *entries; /* array, one for each caller */
    uint64_t outstanding;    /* requests that have not ended */
    caller_done_cb done;
    void *ctx;
};

/* Sends one request; its latency is counted from `intended_us`. */
void caller_send(struct callers *callers, const struct mix_item *item,
                 int64_t intended_us);

/* Requests a new list of gateways for each caller whose list has expired. */
void caller_refresh(struct callers *callers);

#endif
